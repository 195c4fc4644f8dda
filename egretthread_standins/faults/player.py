"""Plays scenes on clusters and collects their checks."""

import asyncio
import pathlib

from egretthread import util
from egretthread_standins import children
from egretthread_standins.checks import Check
from egretthread_standins.faults import scenes
from egretthread_standins.faults import stage as stages
from egretthread_standins.faults.stage import Stage

SCENE_LIMIT_S = 300.0
ERRORS = (children.ChildError, util.EgretthreadError, TimeoutError, OSError)

Seen = dict[str, list[Check]]


async def play(
    names: tuple[str, ...], directory: pathlib.Path, seed: int = stages.SEED
) -> Seen:
    """Plays scenes of one layout on one cluster, one after the other.

    A scene that breaks off fails, and so do those after it.
    """
    seen = {name: [Check("the scene is played", False, "")] for name in names}
    layout = scenes.find_scene(names[0]).layout
    try:
        stage = await stages.start(directory, layout, seed)
    except ERRORS as error:
        seen[names[0]] = [broken_off(error)]
        return seen
    try:
        for name in names:
            seen[name] = await play_one(name, stage)
    except ERRORS as error:
        seen[name] = [broken_off(error)]
    finally:
        await stage.cluster.close()
    return seen


async def play_one(name: str, stage: Stage) -> list[Check]:
    """Plays one scene and audits all that was played on its stage."""
    async with asyncio.timeout(SCENE_LIMIT_S):
        seen = await scenes.find_scene(name).play(stage)
        return seen + stage.audit.check(await stage.cluster.starts())


def broken_off(error: Exception) -> Check:
    """Returns the check that fails for a scene that broke off."""
    return Check("the scene ends", False, repr(error))


async def play_groups(
    groups: tuple[tuple[str, ...], ...], directory: pathlib.Path
) -> Seen:
    """Plays groups of scenes at the same time, each on its own cluster."""
    playing = []
    for names in groups:
        own = directory / names[0]
        own.mkdir()
        playing.append(play(names, own))
    seen: Seen = {}
    for group in await asyncio.gather(*playing):
        seen |= group
    return seen
