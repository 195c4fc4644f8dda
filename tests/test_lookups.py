"""Tests of looking up jobs by their key."""

import testtools

from egretthread import entry, witness
from egretthread.controllers import lookups
from egretthread.jobkey import JobRef
from egretthread.jobstate import JobStatus
from egretthread.outcome import JobAnswer
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S


class KeptList(list):
    """A list of results that the simulated server process does not clear."""

    def clear(self):
        pass


class LookUpTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.region = world.World(6, faults=False)
        self.region.run(SETTLE_S)
        self.job = self.region.new_submission("asked", 60)
        self.request = self.region.submit("e1", self.job)
        self.region.run(0.05)

    def look_up(self, name, job, to_cancel=False):
        """Returns an entry's lookup result of a job."""
        board = self.region.processes[name].board
        board.lookup_results = KeptList()
        entry.look_up(board, job, to_cancel)
        self.assertTrue(
            self.region.run_until(lambda: board.lookup_results, 10.0)
        )
        ((found, result),) = board.lookup_results
        self.assertEqual(job, found)
        return result

    def test_any_entry_finds_a_running_job(self):
        for name in ("e1", "e2"):
            found = self.look_up(name, self.job.job)
            self.assertIs(JobStatus.RUNNING, found)

    def test_any_entry_gets_the_answer(self):
        self.region.run_until(lambda: self.request.result, 20.0)
        found = self.look_up("e2", self.job.job)
        self.assertIsInstance(found, JobAnswer)
        self.assertEqual(self.request.result.outcomes, found.outcomes)

    def test_another_organisations_job_is_unknown(self):
        other = JobRef("varna", self.job.job.key)
        for name in ("e1", "e2"):
            found = self.look_up(name, other)
            self.assertEqual(lookups.UNKNOWN_JOB, found)

    def test_job_of_a_killed_coordinator_is_stranded(self):
        self.region.kill("e1")
        self.region.run(0.1)
        found = self.look_up("e2", self.job.job)
        self.assertIs(JobStatus.STRANDED, found)

    def test_cancellation_reaches_the_coordinator(self):
        found = self.look_up("e2", self.job.job, to_cancel=True)
        self.assertIs(JobStatus.CANCELLING, found)
        self.region.run_until(lambda: self.request.result, 20.0)
        self.assertFalse(self.request.result.complete)
