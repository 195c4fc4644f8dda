"""Tests of the arrivals of benchmarks."""

import dataclasses

import testtools

from egretthread_bench import workload
from egretthread_bench.experiment import Experiment, Tenant


class WorkloadTest(testtools.TestCase):
    experiment = Experiment("small", jobs=400)

    def test_arrivals_make_up_the_load(self):
        jobs = workload.arrivals(self.experiment, 0.7)
        work_s = sum(sum(arrival.run_s) for arrival in jobs)
        load = work_s / jobs[-1].at_s / 88
        self.assertTrue(0.6 < load < 0.8, load)

    def test_arrivals_do_not_depend_on_another_organisations_flood(self):
        baseline = workload.arrivals(self.experiment, 0.7)
        tenants = (Tenant("dublin"), Tenant("varna", flood=5.0))
        flooded = dataclasses.replace(self.experiment, tenants=tenants)
        flood = workload.arrivals(flooded, 0.7)
        self.assertEqual(
            self.jobs_of("dublin", baseline), self.jobs_of("dublin", flood)
        )
        self.assertTrue(len(flood) > 2 * len(baseline))

    def jobs_of(self, name, jobs):
        return [job for job in jobs if job.job.organisation == name]
