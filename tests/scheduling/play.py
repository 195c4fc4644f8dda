"""Runs many seeded histories: python -m tests.scheduling.play 1000 500 kept.

The arguments are the first seed and the number of histories. With `kept`, the
histories include kept jobs and faults of their log.
"""

import concurrent.futures
import functools
import logging
import sys

from tests.scheduling import test_region

# Number of processes that run histories.
WORKERS = 3


def violations(seed: int, kept: bool) -> list[str]:
    """Returns the violations in one history."""
    logging.disable(logging.CRITICAL)
    return test_region.play(seed, kept=kept).violations()


def main() -> None:
    """Runs the histories and prints the first violation of each."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    seeds = range(first, first + count)
    run_history = functools.partial(violations, kept="kept" in sys.argv[3:])
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for seed, found in zip(
            seeds, pool.map(run_history, seeds), strict=True
        ):
            if found:
                failed += 1
                print(f"seed {seed}: {found[0]}")
    print(f"{count} histories from seed {first}, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
