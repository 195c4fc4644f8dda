"""Tests of the rule by which agents grant slots to entries."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from egretthread import credit
from egretthread.credit import CreditRule, SlotRequest

RULE = CreditRule(lookahead=4, batch=4)
REQUESTS = st.dictionaries(
    st.sampled_from(["e1", "e2", "e3"]),
    st.builds(SlotRequest, st.integers(1, 8), st.floats(0, 9), st.booleans()),
)


class CreditsTest(testtools.TestCase):
    def test_the_longest_wait_is_served_first(self):
        requests = {
            "e1": SlotRequest(2, 5.0, False),
            "e2": SlotRequest(2, 3.0, False),
        }
        self.assertEqual({"e2": 2, "e1": 1}, credit.grant(requests, 3, RULE))

    def test_queue_places_are_granted_in_batches(self):
        requests = {"e1": SlotRequest(8, 0.0, True)}
        self.assertEqual({}, credit.grant(requests, -1, RULE))
        self.assertEqual({"e1": 4}, credit.grant(requests, 0, RULE))
        self.assertEqual({"e1": 6}, credit.grant(requests, 2, RULE))

    def test_granted_slots_are_deducted_from_the_request(self):
        requests = {
            "e1": SlotRequest(3, 0.0, True),
            "e2": SlotRequest(1, 1.0, True),
        }
        credit.deduct_granted(requests, {"e1": 2, "e2": 1})
        self.assertEqual({"e1": SlotRequest(1, 0.0, True)}, requests)

    def test_reserved_slots_are_always_accepted(self):
        self.assertEqual(2, credit.accepted(3, -4, 2, False, RULE))
        self.assertEqual(3, credit.accepted(3, 0, 2, True, RULE))
        self.assertEqual(1, credit.accepted(3, 1, 0, False, RULE))

    def test_reserved_slots_are_offered_while_the_queue_is_in_use(self):
        self.assertEqual(2, credit.offered_slots(2, 0, RULE))
        self.assertEqual(2, credit.offered_slots(-4, 4, RULE))

    def test_only_agents_with_enough_slots_queue(self):
        self.assertEqual(0, credit.rule_for(2).lookahead)
        self.assertEqual(4, credit.rule_for(8).lookahead)

    @given(REQUESTS, st.integers(-4, 8))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_grants_never_exceed_the_free_capacity(self, requests, free):
        granted = credit.grant(requests, free, RULE)
        self.assertTrue(sum(granted.values()) <= free + RULE.lookahead)
        for entry, count in granted.items():
            self.assertTrue(0 < count <= requests[entry].count)
