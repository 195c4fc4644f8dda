"""Tests of the quotas."""

import testtools

from egretthread import quota
from egretthread.config import Organisation

DUBLIN = Organisation("dublin", starts_per_s=100.0, max_running=500)


class QuotaTest(testtools.TestCase):
    def test_a_job_is_admitted_or_refused_as_a_whole(self):
        table = quota.QuotaTable([DUBLIN])
        self.assertTrue(table.admit("dublin", 80, 0.0).ok)
        refused = table.admit("dublin", 40, 0.0)
        self.assertFalse(refused.ok)
        self.assertAlmostEqual(0.2, refused.retry_after_s)
        self.assertTrue(table.admit("dublin", 40, 0.2 + 1e-9).ok)

    def test_a_job_larger_than_the_bucket_leaves_a_debt(self):
        table = quota.QuotaTable([DUBLIN])
        self.assertTrue(table.admit("dublin", 190, 0.0).ok)
        self.assertFalse(table.admit("dublin", 1, 0.9).ok)
        self.assertTrue(table.admit("dublin", 1, 0.92).ok)

    def test_running_tasks_are_bounded(self):
        organisation = Organisation("a", starts_per_s=1e6, max_running=10)
        table = quota.QuotaTable([organisation])
        self.assertTrue(table.admit("a", 20, 0.0).ok)
        self.assertFalse(table.admit("a", 1, 0.0).ok)
        table.release("a", 15)
        self.assertTrue(table.admit("a", 5, 0.0).ok)

    def test_unknown_organisation_is_refused(self):
        self.assertFalse(quota.QuotaTable().admit("nobody", 1, 0.0).ok)

    def test_shares_follow_demand_and_stay_bounded(self):
        demands = [{"dublin": 90.0}, {"dublin": 10.0}, {}]
        rates = []
        for own in range(3):
            table = quota.QuotaTable([DUBLIN])
            peers = demands[:own] + demands[own + 1 :]
            table.set_shares(demands[own], peers)
            rates.append(table.buckets["dublin"].rate_per_s)
        self.assertAlmostEqual(90.0, rates[0])
        self.assertAlmostEqual(10.0, rates[1])
        self.assertTrue(sum(rates) <= 100.0 * (1 + 1 / quota.FLOOR_DIVISOR))

    def test_starts_over_entries_stay_within_the_bound(self):
        tables = [quota.QuotaTable([DUBLIN]) for _ in range(3)]
        admitted = 0
        for tick in range(200):
            now_s = tick * 0.1
            if tick % 10 == 0:
                demands = [dict(table.demand(now_s)) for table in tables]
                for own, table in enumerate(tables):
                    peers = demands[:own] + demands[own + 1 :]
                    table.set_shares(demands[own], peers)
            table = tables[tick // 50 % 3]
            admitted += 30 * table.admit("dublin", 30, now_s).ok
            if table.buckets["dublin"].running > 300:
                table.release("dublin", 300)
        bound = 100.0 * (1 + 1 / quota.FLOOR_DIVISOR) * 21.0 + 3 * 30
        self.assertTrue(100.0 * 20 * 0.7 < admitted <= bound, admitted)
