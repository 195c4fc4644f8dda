"""Plays many seeded histories: python -m tests.fuzz --histories 2000.

This driver applies the same steps as the Hypothesis state machine of
test_fuzz, without the overhead of generating and shrinking examples.
"""

import argparse
import collections
import concurrent.futures
import random
import sys
import time

from tests import histories, oracle

MAX_SHOWN = 10


def _play(seed: int, steps: int) -> tuple[str, collections.Counter]:
    """Returns the violation, empty if there is none, and the counters."""
    try:
        return "", histories.play(seed, steps).counts()
    except oracle.ViolationError as error:
        return str(error), collections.Counter()


def run(
    first: int, count: int, steps: int, workers: int, stop: bool
) -> tuple[list[str], collections.Counter, int]:
    """Plays histories with consecutive seeds.

    Args:
        first: Seed of the first history.
        count: Number of histories.
        steps: Steps of each history.
        workers: Processes to play them in.
        stop: Whether to stop after the first violation.

    Returns:
        The violations, the sums of the counters and the number of histories
        played.
    """
    failures = []
    counts = collections.Counter()
    played = 0
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        pending = collections.deque()
        seeds = iter(range(first, first + count))
        while True:
            while len(pending) < 2 * workers and not (stop and failures):
                seed = next(seeds, None)
                if seed is None:
                    break
                pending.append(pool.submit(_play, seed, steps))
            if not pending:
                return failures, counts, played
            failure, history_counts = pending.popleft().result()
            played += 1
            counts += history_counts
            if failure:
                failures.append(failure)


def main() -> int:
    """Plays the histories that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--histories", type=int, default=2000)
    parser.add_argument("--steps", type=int, default=50)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--stop", action="store_true")
    options = parser.parse_args()
    seed = options.seed
    if seed is None:
        seed = random.SystemRandom().randrange(10**9)
    print(f"seed={seed} histories={options.histories} steps={options.steps}")
    begun_s = time.monotonic()
    failures, counts, played = run(
        seed, options.histories, options.steps, options.workers, options.stop
    )
    for failure in failures[:MAX_SHOWN]:
        print(failure[:600])
    took_s = time.monotonic() - begun_s
    print(f"played={played} failures={len(failures)} took_s={took_s:.0f}")
    print(" ".join(f"{key}={counts[key]}" for key in sorted(counts)))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
