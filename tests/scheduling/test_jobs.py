"""Tests of the life cycle of a job and of the answers to its caller."""

import testtools

from egretthread.scheduling.entryboard import Outcome
from tests.scheduling import region


class TestAnswers(testtools.TestCase):
    def outcome(self, world, duration_s):
        world.finish(duration_s)
        return world.answers[0][1]

    def test_a_dispatched_job_is_never_answered_as_refused(self):
        """The agent is disconnected after the order until the deadline.

        "Refused" would tell the caller that no task of the job has run.
        """
        world = region.Region(entries=1, agents=1, work_s=lambda name: 9.0)
        world.run(2.5)
        world.submit(region.job("j"), "e0", 1.2)
        world.run(0.0005)
        world.cut("e0", "a0", 5.0)
        world.run(1.0)
        board = world.entries["e0"].board
        self.assertTrue(board.jobs["j"].may_have_started)
        board.jobs["j"].deadline_s = world.now_s
        self.assertIs(Outcome.GIVEN_UP, self.outcome(world, 0.1))

    def test_a_job_that_was_never_dispatched_is_refused(self):
        world = region.Region(entries=1, agents=1, cpu=500)
        world.run(2.5)
        world.submit(region.job("j"), "e0", 1.2)
        self.assertIs(Outcome.REFUSED, self.outcome(world, 2.0))
        self.assertEqual({}, world.runs())
