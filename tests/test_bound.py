"""Tests of the central queue that results are compared with."""

import testtools

from egretthread_bench import bound
from egretthread_bench.driver import Arrival


class BoundTest(testtools.TestCase):
    def test_free_slots_run_a_job_in_its_longest_task(self):
        jobs = [Arrival(1.0, "a", (0.5, 2.0))]
        self.assertEqual([2.0], bound.responses_s(jobs, 2))

    def test_tasks_wait_for_the_first_slot_that_is_freed(self):
        jobs = [Arrival(0.0, "a", (1.0, 3.0)), Arrival(0.5, "a", (1.0,))]
        self.assertEqual([3.0, 1.5], bound.responses_s(jobs, 2))

    def test_organisations_take_turns(self):
        flood = Arrival(0.0, "a", (1.0,) * 8)
        small = Arrival(0.1, "b", (1.0,))
        _, response_s = bound.responses_s([flood, small], 1)
        self.assertTrue(response_s < 4.0)
