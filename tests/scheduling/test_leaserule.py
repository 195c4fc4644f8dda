"""Tests of the leases that are based on echoed clock readings."""

import testtools

from egretthread.scheduling import forwarding, joblog, leaserule

# A caller resubmits its job this long after its connection broke.
RESUBMIT_S = 1.3
STOP_S = 0.05


class TestLeases(testtools.TestCase):
    def test_runs_of_a_dead_entry_stop_before_the_job_is_resubmitted(self):
        lease_end_s = leaserule.coordinator_lease_end_s(0)
        self.assertLess(lease_end_s + STOP_S, RESUBMIT_S)

    # Guards against TWICE: runs whose stop was not answered went on while their
    # tasks were started again.
    def test_runs_whose_stop_is_lost_end_before_their_tasks_start_again(self):
        drift = 1 + leaserule.CLOCK_DRIFT
        lapsed_s = (
            leaserule.COORDINATOR_LEASE_S
            + leaserule.LAPSED_STOP_LIMIT_S * drift
        )
        self.assertLess(lapsed_s + STOP_S, RESUBMIT_S)
        self.assertLess(lapsed_s, leaserule.fence_s(0.0, ordered=False))
        ordered_lapse_s = (
            leaserule.MAX_ORDER_AGE_MS / 1000
            + leaserule.ACCEPTED_GRACE_S
            + leaserule.LAPSED_STOP_LIMIT_S * drift
        )
        self.assertLess(ordered_lapse_s, leaserule.fence_s(0.0, ordered=True))
        self.assertLess(leaserule.STOP_LIMIT_S * drift + STOP_S, RESUBMIT_S)

    # Guards against TWICE: runs of a forwarded job whose stop was not answered
    # went on after their sender was lost and its caller was back.
    def test_runs_of_a_forwarded_job_end_before_it_is_submitted_again(self):
        stop_s = leaserule.STOP_LIMIT_S * (1 + leaserule.CLOCK_DRIFT) + STOP_S
        lapsed_s = forwarding.MAX_MESSAGE_AGE_S + forwarding.LEASE_S + stop_s
        self.assertLess(lapsed_s, RESUBMIT_S)
        self.assertLess(lapsed_s, forwarding.FENCE_S)

    def test_a_delayed_order_is_not_carried_out(self):
        self.assertTrue(leaserule.order_is_fresh(2000, 600))
        self.assertFalse(leaserule.order_is_fresh(2000, 400))

    def test_a_delayed_order_of_a_dead_entry_ends_before_its_job_is_back(self):
        self.assertTrue(leaserule.order_is_prompt(2000, 600, 1000))
        self.assertFalse(leaserule.order_is_prompt(2000, 500, 1000))
        lapsed_s = (
            leaserule.MAX_ORDER_TRANSIT_MS / 1000
            + leaserule.ACCEPTED_GRACE_S
            + leaserule.LAPSED_STOP_LIMIT_S * (1 + leaserule.CLOCK_DRIFT)
        )
        self.assertLess(lapsed_s + STOP_S, RESUBMIT_S)

    def test_the_fence_outlasts_every_run(self):
        order_s = leaserule.MAX_ORDER_AGE_MS / 1000
        longest_s = (
            order_s
            + leaserule.ACCEPTED_GRACE_S
            + leaserule.max_server_lease_s()
        )
        self.assertGreater(leaserule.fence_s(0.0, ordered=True), longest_s)
        heartbeat_s = (
            leaserule.COORDINATOR_LEASE_S + leaserule.max_server_lease_s()
        )
        self.assertGreater(leaserule.fence_s(0.0, ordered=False), heartbeat_s)

    # Guards against TWICE: a coordinator that did not know of its loss renewed
    # its leases to the end of its tenure, while its successor had begun.
    def test_a_takeover_outlasts_the_runs_of_the_former_coordinator(self):
        ended_s = leaserule.tenure_end_s(0.0)
        stop_s = leaserule.LAPSED_STOP_LIMIT_S * (1 + leaserule.CLOCK_DRIFT)
        renewed_s = leaserule.COORDINATOR_LEASE_S
        ordered_s = (
            leaserule.MAX_ORDER_TRANSIT_MS / 1000 + leaserule.ACCEPTED_GRACE_S
        )
        for lease_s in (renewed_s, ordered_s):
            lapsed_s = ended_s + lease_s + stop_s
            self.assertGreater(leaserule.takeover_s(ended_s), lapsed_s)
        self.assertLess(joblog.JOIN_INTERVAL_S, leaserule.TENURE_S)
        self.assertLess(leaserule.TENURE_S, joblog.TTL_S)

    def test_a_slow_server_clock_lengthens_the_lease(self):
        self.assertGreater(
            leaserule.max_server_lease_s(), leaserule.SERVER_LEASE_S
        )
