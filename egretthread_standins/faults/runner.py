"""Runs fault scenarios on clusters and collects their checks."""

import asyncio
import pathlib

from egretthread import util
from egretthread_standins import children
from egretthread_standins.checks import Check
from egretthread_standins.faults import scenarios
from egretthread_standins.faults import testbed as testbeds
from egretthread_standins.faults.testbed import Testbed

SCENARIO_LIMIT_S = 300.0
ERRORS = (children.ChildError, util.EgretthreadError, TimeoutError, OSError)

Results = dict[str, list[Check]]


async def run_scenarios(
    names: tuple[str, ...], directory: pathlib.Path, seed: int = testbeds.SEED
) -> Results:
    """Runs scenarios of one layout on one cluster, one after the other.

    A scenario that raises an error fails, and so do those after it.
    """
    results = {
        name: [Check("the scenario is run", False, "")] for name in names
    }
    layout = scenarios.find_scenario(names[0]).layout
    try:
        testbed = await testbeds.start(directory, layout, seed)
    except ERRORS as error:
        results[names[0]] = [aborted_check(error)]
        return results
    try:
        for name in names:
            results[name] = await run_one(name, testbed)
    except ERRORS as error:
        results[name] = [aborted_check(error)]
    finally:
        await testbed.cluster.close()
    return results


async def run_one(name: str, testbed: Testbed) -> list[Check]:
    """Runs one scenario, then audits all calls made on the testbed so far."""
    async with asyncio.timeout(SCENARIO_LIMIT_S):
        results = await scenarios.find_scenario(name).run(testbed)
        return results + testbed.audit.check(await testbed.cluster.starts())


def aborted_check(error: Exception) -> Check:
    """Returns the failed check of a scenario that raised an error."""
    return Check("the scenario ends", False, repr(error))


async def run_groups(
    groups: tuple[tuple[str, ...], ...], directory: pathlib.Path
) -> Results:
    """Runs groups of scenarios concurrently, each on a cluster of its own."""
    running = []
    for names in groups:
        group_directory = directory / names[0]
        group_directory.mkdir()
        running.append(run_scenarios(names, group_directory))
    results: Results = {}
    for group in await asyncio.gather(*running):
        results |= group
    return results
