"""Tests of a job's way, and of what its caller is told."""

import testtools

from egretthread.scheduling.entryboard import Outcome
from tests.scheduling import region


class TestAnswers(testtools.TestCase):
    def answer(self, world, seconds):
        world.finish(seconds)
        return world.answers[0][1]

    def test_what_was_handed_out_is_never_said_not_to_have_run(self):
        """The agent is cut off after the order, until the deadline."""
        world = region.Region(entries=1, agents=1, work_s=lambda name: 9.0)
        world.run(2.5)
        world.submit(region.job("j"), "e0", 1.2)
        world.run(0.0005)
        world.cut("e0", "a0", 5.0)
        world.run(1.0)
        board = world.entries["e0"].board
        self.assertTrue(board.jobs["j"].may_have_started)
        board.jobs["j"].deadline_s = world.now_s
        self.assertIs(Outcome.GIVEN_UP, self.answer(world, 0.1))

    def test_what_was_never_handed_out_is_refused(self):
        world = region.Region(entries=1, agents=1, cpu=500)
        world.run(2.5)
        world.submit(region.job("j"), "e0", 1.2)
        self.assertIs(Outcome.REFUSED, self.answer(world, 2.0))
        self.assertEqual({}, world.runs())
