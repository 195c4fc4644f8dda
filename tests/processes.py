"""Base class of tests that run fault scenarios on child processes."""

import asyncio
import pathlib
import tempfile

import testtools

from egretthread_standins.faults import runner


class ScenarioCase(testtools.TestCase):
    """Runs the scenarios of a class once; each test checks one of them.

    Attributes:
        groups: Names of the scenarios that share a cluster. The groups run
            at the same time.
        results: The checks of each scenario.
    """

    groups: tuple[tuple[str, ...], ...] = ()

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            cls.results = asyncio.run(runner.run_groups(cls.groups, path))

    def check(self, name):
        """Asserts the checks of a scenario and of the audit after it."""
        failed = [check for check in self.results[name] if not check.ok]
        self.assertEqual([], failed)
