"""Command that plays scenes and prints what was seen."""

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
from egretthread_standins.faults import player, scenes, stage


async def play(name: str, directory: pathlib.Path, seed: int) -> list[Check]:
    """Plays one scene; SIGTERM ends it and its child processes."""
    own_task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, own_task.cancel)
    seen = await player.play((name,), directory, seed)
    return seen[name]


def run(name: str, seed: int) -> list[Check]:
    """Plays one scene; its settings and logs are kept unless all went well."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"egretthread-{name}-"))
    seen = asyncio.run(play(name, directory, seed))
    if all(check.ok for check in seen):
        shutil.rmtree(directory)
    else:
        console.progress(f"settings and logs are in {directory}")
    return seen


def main() -> None:
    """Plays the scenes named, or all of them; exits with 1 on a failure."""
    parser = argparse.ArgumentParser(
        prog="egretthread_standins.faults", description=__doc__
    )
    parser.add_argument(
        "names", nargs="+", choices=("all", *scenes.SCENES), metavar="NAME"
    )
    parser.add_argument(
        "--seed", type=int, default=stage.SEED, help="seed of the run times"
    )
    options = parser.parse_args()
    names = options.names
    ok = True
    for name in scenes.SCENES if "all" in names else names:
        console.progress(f"scene: {name}")
        seen = run(name, options.seed)
        checks.print_checks(seen)
        ok = ok and all(check.ok for check in seen)
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
