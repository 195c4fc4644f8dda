"""Counts of waiting kept jobs that no entry knows.

A history in which all entries are restarted, and the next coordinator is lost
before it has loaded its partitions.
"""

import testtools

from tests.scheduling import pendingcheck, region, test_region


class TestUnknownCounts(testtools.TestCase):
    def test_an_entry_counts_jobs_of_partitions_that_nobody_has_loaded(self):
        checks = []
        self.patch(region, "Region", pendingcheck.checked_region(checks))
        test_region.play(2407, kept=True)
        self.assertEqual([], checks[0].low)
