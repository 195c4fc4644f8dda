"""Command that runs fault scenarios and prints their checks."""

import argparse
import asyncio
import pathlib
import shutil
import signal
import sys
import tempfile

from egretthread import console
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults import runner, scenarios, testbed


async def run_until_signal(
    name: str, directory: pathlib.Path, seed: int
) -> list[Check]:
    """Runs one scenario; SIGTERM ends it and its child processes."""
    own_task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, own_task.cancel)
    results = await runner.run_scenarios((name,), directory, seed)
    return results[name]


def run(name: str, seed: int) -> list[Check]:
    """Runs one scenario; keeps settings and logs when a check fails."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"egretthread-{name}-"))
    results = asyncio.run(run_until_signal(name, directory, seed))
    if all(check.ok for check in results):
        shutil.rmtree(directory)
    else:
        console.progress(f"settings and logs are in {directory}")
    return results


def main() -> None:
    """Runs the named scenarios, or all; exits with 1 when a check fails."""
    parser = argparse.ArgumentParser(
        prog="egretthread_standins.faults", description=__doc__
    )
    parser.add_argument(
        "names",
        nargs="+",
        choices=("all", *scenarios.SCENARIOS),
        metavar="NAME",
    )
    parser.add_argument(
        "--seed", type=int, default=testbed.SEED, help="seed of the run times"
    )
    options = parser.parse_args()
    names = options.names
    ok = True
    for name in scenarios.SCENARIOS if "all" in names else names:
        console.progress(f"scenario: {name}")
        results = run(name, options.seed)
        checks.print_checks(results)
        ok = ok and all(check.ok for check in results)
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
