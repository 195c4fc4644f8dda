"""Command line of the soak."""

import argparse
import asyncio
import pathlib
import random
import signal
import sys

from egretthread_standins.soak import disturbances, runner

EXIT_TERMINATED = 2


def main() -> None:
    """Plays runs with one seed each; exits with 1 if a rule was broken."""
    known = {*disturbances.ACTIONS, runner.KEPT_JOBS}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; drawn if missing")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=5)
    parser.add_argument(
        "--without",
        default="",
        help="what is left out, separated by commas, of "
        + ", ".join(sorted(known)),
    )
    parser.add_argument(
        "--folder", type=pathlib.Path, default=pathlib.Path("build/soak")
    )
    arguments = parser.parse_args()
    without = frozenset(filter(None, arguments.without.split(",")))
    if without - known:
        parser.error(f"--without: unknown disturbances {without}")
    first = arguments.seed
    if first is None:
        first = random.randrange(1_000_000)
    # Ends the programs that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    failed = []
    for seed in range(first, first + arguments.runs):
        settings = runner.SoakSettings(
            seed,
            arguments.seconds,
            arguments.entries,
            arguments.agents,
            without,
            arguments.folder,
        )
        if asyncio.run(runner.run(settings)):
            failed.append(seed)
    print(
        f"{arguments.runs} runs from seed {first}; failed: {failed or 'none'}"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
