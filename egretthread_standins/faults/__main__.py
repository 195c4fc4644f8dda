"""Command that plays scenes and prints what was seen."""

import argparse
import asyncio
import pathlib
import shutil
import sys
import tempfile

from egretthread import console
from egretthread_standins import checks, children
from egretthread_standins.checks import Check
from egretthread_standins.faults import scenes
from egretthread_standins.faults import stage as stages

SCENE_LIMIT_S = 300.0


async def play(name: str, directory: pathlib.Path) -> list[Check]:
    """Plays one scene on a cluster of its own and returns the checks."""
    scene = scenes.find_scene(name)
    stage = await stages.start(directory, scene.layout)
    try:
        async with asyncio.timeout(SCENE_LIMIT_S):
            seen = await scene.play(stage)
            return seen + stage.audit.check(await stage.cluster.starts())
    finally:
        await stage.cluster.close()


def run(name: str) -> list[Check]:
    """Plays one scene; its settings and logs are kept unless all went well."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"egretthread-{name}-"))
    try:
        seen = asyncio.run(play(name, directory))
    except (children.ChildError, TimeoutError) as error:
        seen = [Check("the scene ends", False, f"{error}")]
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
    names = parser.parse_args().names
    ok = True
    for name in scenes.SCENES if "all" in names else names:
        console.progress(f"scene: {name}")
        seen = run(name)
        checks.print_checks(seen)
        ok = ok and all(check.ok for check in seen)
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
