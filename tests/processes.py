"""Base of the tests that play scenes on child processes."""

import asyncio
import pathlib
import tempfile

import testtools

from egretthread_standins.faults import player


class SceneCase(testtools.TestCase):
    """Plays the scenes of a class once; each test looks at one of them.

    Attributes:
        groups: Names of scenes that share a cluster; groups play at once.
        seen: The checks of each scene.
    """

    groups: tuple[tuple[str, ...], ...] = ()

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            cls.seen = asyncio.run(player.play_groups(cls.groups, path))

    def check(self, name):
        """Asserts all checks of a scene, and of the audit after it."""
        failed = [check for check in self.seen[name] if not check.ok]
        self.assertEqual([], failed)
