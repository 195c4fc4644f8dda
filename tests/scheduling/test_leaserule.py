"""Tests of the leases that rest on returned clock readings."""

import testtools

from egretthread.scheduling import leaserule

# After a broken connection a caller submits its job again after this.
RESUBMIT_S = 1.3
STOP_S = 0.05


class TestLeases(testtools.TestCase):
    def test_runs_of_a_dead_entry_are_stopped_before_the_job_comes_again(self):
        last_word_s = leaserule.lease_end_s(0)
        self.assertLess(last_word_s + STOP_S, RESUBMIT_S)

    def test_an_order_held_up_on_its_way_is_not_carried_out(self):
        self.assertTrue(leaserule.order_is_fresh(2000, 600))
        self.assertFalse(leaserule.order_is_fresh(2000, 400))

    def test_the_fence_outlasts_every_way_a_run_may_live_on(self):
        order_s = leaserule.ORDER_AGE_MS / 1000
        longest_s = (
            order_s + leaserule.ACCEPTED_GRACE_S + leaserule.server_lapse_s()
        )
        self.assertGreater(leaserule.fence_s(0.0, ordered=True), longest_s)
        beat_s = leaserule.COORDINATOR_LEASE_S + leaserule.server_lapse_s()
        self.assertGreater(leaserule.fence_s(0.0, ordered=False), beat_s)

    def test_a_slow_clock_lengthens_the_lease(self):
        self.assertGreater(leaserule.server_lapse_s(), leaserule.SERVER_LEASE_S)
