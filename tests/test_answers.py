"""Tests of the refusal of a job that an entry removes."""

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
        """Refuses a job and returns the refusal that its caller gets."""
        answers.refuse(self.board, self.board.jobs[job.job], REFUSAL)
        _, refusal = self.board.job_results.pop()
        return refusal

    def test_refusal_of_a_job_never_dispatched_reports_no_start(self):
        job = self.region.new_submission("fresh", 3)
        self.region.submit("e1", job)
        self.assertFalse(self.refuse(job).started)

    def test_refusal_of_a_resubmission_reports_earlier_dispatches(self):
        # Regression: a task queued at its agent started after the next
        # submission of its job had been refused with `started` false (fuzz
        # seed 701253).
        job = self.region.new_submission("again", 3)
        self.region.submit("e1", job)
        self.region.run(0.1)
        del self.board.jobs[job.job]
        self.region.submit("e1", job)
        self.assertTrue(self.refuse(job).started)
