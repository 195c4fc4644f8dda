"""Tests of what an entry says of a job that it gives up."""

import testtools

from egretthread import witness
from egretthread.controllers import answers
from egretthread.submission import Refusal
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
REFUSAL = Refusal("unavailable", "given up", "ask again")


class RefuseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.region = world.World(8, faults=False)
        self.region.run(SETTLE_S)
        self.board = self.region.processes["e1"].board

    def refuse(self, job):
        """Gives a job up and returns what its caller is told."""
        answers.refuse(self.board, self.board.jobs[job.job], REFUSAL)
        _, refusal = self.board.job_results.pop()
        return refusal

    def test_nothing_was_started_of_a_job_that_was_never_handed_out(self):
        job = self.region.new_submission("fresh", 3)
        self.region.submit("e1", job)
        self.assertFalse(self.refuse(job).started)

    def test_later_submissions_are_told_of_tasks_handed_out_before(self):
        # Found by the seeded history 701253: a task that waited at its agent
        # started after the next submission had been refused.
        job = self.region.new_submission("again", 3)
        self.region.submit("e1", job)
        self.region.run(0.1)
        del self.board.jobs[job.job]
        self.region.submit("e1", job)
        self.assertTrue(self.refuse(job).started)
