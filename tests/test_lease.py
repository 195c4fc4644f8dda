"""Tests of the configuration leases."""

import math

import testtools

from egretthread import lease

ENTRIES = ("e1", "e2", "e3")
CUT_OFF_S = 5.0


def _peer(
    name: str, offset: int, log_age_s: float, holds_lease: bool = True
) -> lease.PeerView:
    return lease.PeerView(name, 0.1, offset, log_age_s, holds_lease)


class ConfirmedAgeTest(testtools.TestCase):
    def test_majority_that_is_cut_off_confirms_an_outage(self):
        peers = [_peer("e2", 3, CUT_OFF_S)]
        age_s = lease.confirmed_age_s(CUT_OFF_S, 3, ENTRIES, peers, True)
        self.assertEqual(0.1, age_s)

    def test_minority_confirms_no_outage(self):
        age_s = lease.confirmed_age_s(CUT_OFF_S, 3, ENTRIES, [], True)
        self.assertEqual(CUT_OFF_S, age_s)

    def test_restarted_entry_without_configuration_does_not_count(self):
        # Regression: restarted entries without a configuration completed the
        # majority that confirmed an old configuration (fuzz seed 10257).
        peers = [_peer("e1", -1, 1e9), _peer("e2", -1, 1e9)]
        age_s = lease.confirmed_age_s(CUT_OFF_S, 1, ENTRIES, peers, True)
        self.assertEqual(CUT_OFF_S, age_s)

    def test_lapsed_leases_do_not_revive_one_another(self):
        # Regression: two entries that had missed a withdrawal before the log
        # became unavailable revived each other's leases (fuzz seed 701380).
        peers = [_peer("e2", 3, CUT_OFF_S, holds_lease=False)]
        age_s = lease.confirmed_age_s(CUT_OFF_S, 3, ENTRIES, peers, False)
        self.assertEqual(CUT_OFF_S, age_s)

    def test_lapsed_lease_is_revived_by_a_majority_that_holds_theirs(self):
        peers = [_peer("e1", 3, CUT_OFF_S), _peer("e2", 3, CUT_OFF_S)]
        age_s = lease.confirmed_age_s(CUT_OFF_S, 3, ENTRIES, peers, False)
        self.assertEqual(0.1, age_s)

    def test_lapsed_peer_does_not_count_towards_the_majority(self):
        peers = [_peer("e2", 3, CUT_OFF_S, holds_lease=False)]
        age_s = lease.confirmed_age_s(CUT_OFF_S, 3, ENTRIES, peers, True)
        self.assertEqual(CUT_OFF_S, age_s)

    def test_newer_configuration_elsewhere_ends_the_lease(self):
        peers = [_peer("e2", 4, 0.0)]
        age_s = lease.confirmed_age_s(0.1, 3, ENTRIES, peers, True)
        self.assertEqual(math.inf, age_s)


class RenewTest(testtools.TestCase):
    def test_older_configuration_renews_nothing(self):
        held = lease.AgentLease(4, 10.0)
        self.assertEqual(held, lease.renew(held, 3, 20.0, 3.0))

    def test_newer_configuration_revokes_the_lease_of_older_ones(self):
        held = lease.AgentLease(4, 10.0)
        renewed = lease.renew(held, 5, 8.0, 0.0)
        self.assertEqual(-math.inf, renewed.until_s)

    def test_late_reply_does_not_shorten_the_lease(self):
        held = lease.AgentLease(4, 10.0)
        self.assertEqual(held, lease.renew(held, 4, 5.0, 3.0))
