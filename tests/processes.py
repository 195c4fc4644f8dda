"""Base of the tests that play scenes on child processes."""

import asyncio
import pathlib
import tempfile

import testtools

from egretthread_standins.cluster import Layout
from egretthread_standins.faults import stage as stages


class SceneCase(testtools.TestCase):
    """Plays the scenes of one class on one cluster, one after the other."""

    layout: Layout

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.directory.cleanup)
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        path = pathlib.Path(cls.directory.name)
        cls.stage = cls.runner.run(stages.start(path, cls.layout))
        cls.addClassCleanup(lambda: cls.runner.run(cls.stage.cluster.close()))

    def play(self, scene):
        """Plays a scene and asserts all its checks, and the audit's."""
        seen = self.runner.run(self.play_and_audit(scene))
        failed = [check for check in seen if not check.ok]
        self.assertEqual([], failed)

    async def play_and_audit(self, scene):
        seen = await scene(self.stage)
        starts = await self.stage.cluster.starts()
        return seen + self.stage.audit.check(starts)
