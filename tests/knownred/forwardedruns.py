"""Runs of a forwarded job whose receiver is cut off while stops are lost."""

import testtools

from egretthread.scheduling import forwarding, leaserule

# A caller submits its job again this long after its connection broke.
RESUBMIT_S = 1.3
TICK_S = 0.02


class TestForwardedJob(testtools.TestCase):
    # Guards against TWICE: runs of a receiver that is cut off from its agents
    # and has lost the sender go on while their stop is lost.
    def test_runs_of_a_forwarded_job_end_before_it_is_submitted_again(self):
        stopped_s = forwarding.LEASE_S + TICK_S
        lapsed_s = leaserule.COORDINATOR_LEASE_S + (
            leaserule.LAPSED_STOP_LIMIT_S * (1 + leaserule.CLOCK_DRIFT)
        )
        self.assertLess(stopped_s + lapsed_s, RESUBMIT_S)
