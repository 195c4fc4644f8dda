"""Plays many seeded histories: python -m tests.scheduling.play 1000 500 kept.

With `kept` there are kept jobs too, and faults of their log.
"""

import concurrent.futures
import functools
import logging
import sys

from tests.scheduling import test_region

# Processes to play in.
WORKERS = 3


def faults(seed: int, kept: bool) -> list[str]:
    """Returns what one history found."""
    logging.disable(logging.CRITICAL)
    return test_region.play(seed, kept=kept).violations()


def main() -> None:
    """Plays the histories whose seeds follow the first."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    seeds = range(first, first + count)
    play = functools.partial(faults, kept="kept" in sys.argv[3:])
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for seed, found in zip(seeds, pool.map(play, seeds), strict=True):
            if found:
                failed += 1
                print(f"seed {seed}: {found[0]}")
    print(f"{count} histories from seed {first}, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
