"""Tests of the central queue that bounds the policies."""

import testtools

from egretthread import jobkey
from egretthread_bench import central
from egretthread_bench.experiment import Experiment
from egretthread_bench.workload import Arrival


class CentralTest(testtools.TestCase):
    def test_freed_slots_take_the_next_task_at_once(self):
        experiment = Experiment("small", agents=1, slots=2)
        jobs = [
            Arrival(0.0, 0, self.ref(1), (1.0, 2.0)),
            Arrival(0.5, 0, self.ref(2), (1.0,)),
        ]
        found = central.responses_s(experiment, jobs)
        self.assertEqual({self.ref(1): 2.0, self.ref(2): 1.5}, found)

    def ref(self, number):
        return jobkey.JobRef("dublin", jobkey.make_key(number, "job"))
