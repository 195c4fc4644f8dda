"""Plays many seeded histories: python -m tests.scheduling.play 1000 500."""

import concurrent.futures
import logging
import sys

from tests.scheduling import test_region


def faults(seed: int) -> list[str]:
    """Returns what one history found."""
    logging.disable(logging.CRITICAL)
    return test_region.play(seed).faults()


def main() -> None:
    """Plays the histories whose seeds follow the first."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    seeds = range(first, first + count)
    failed = 0
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for seed, found in zip(seeds, pool.map(faults, seeds), strict=True):
            if found:
                failed += 1
                print(f"seed {seed}: {found[0]}")
    print(f"{count} histories from seed {first}, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
