"""Tests of the rule by which agents give room to entries."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from egretthread import credit
from egretthread.credit import CreditRule, SlotRequest

RULE = CreditRule(lookahead=4, batch=4)
WISHES = st.dictionaries(
    st.sampled_from(["e1", "e2", "e3"]),
    st.builds(SlotRequest, st.integers(1, 8), st.floats(0, 9), st.booleans()),
)


class CreditsTest(testtools.TestCase):
    def test_the_longest_wait_is_served_first(self):
        wishes = {
            "e1": SlotRequest(2, 5.0, False),
            "e2": SlotRequest(2, 3.0, False),
        }
        self.assertEqual({"e2": 2, "e1": 1}, credit.grant(wishes, 3, RULE))

    def test_room_in_the_queue_is_given_in_batches(self):
        wishes = {"e1": SlotRequest(8, 0.0, True)}
        self.assertEqual({}, credit.grant(wishes, -1, RULE))
        self.assertEqual({"e1": 4}, credit.grant(wishes, 0, RULE))
        self.assertEqual({"e1": 6}, credit.grant(wishes, 2, RULE))

    def test_what_is_granted_leaves_the_wish(self):
        wishes = {
            "e1": SlotRequest(3, 0.0, True),
            "e2": SlotRequest(1, 1.0, True),
        }
        credit.deduct_granted(wishes, {"e1": 2, "e2": 1})
        self.assertEqual({"e1": SlotRequest(1, 0.0, True)}, wishes)

    def test_held_room_is_accepted_whatever_else(self):
        self.assertEqual(2, credit.accepted(3, -4, 2, False, RULE))
        self.assertEqual(3, credit.accepted(3, 0, 2, True, RULE))
        self.assertEqual(1, credit.accepted(3, 1, 0, False, RULE))

    def test_held_slots_count_beside_a_queue_in_use(self):
        self.assertEqual(2, credit.offered_slots(2, 0, RULE))
        self.assertEqual(2, credit.offered_slots(-4, 4, RULE))

    def test_only_agents_with_enough_slots_queue(self):
        self.assertEqual(0, credit.rule_for(2).lookahead)
        self.assertEqual(4, credit.rule_for(8).lookahead)

    @given(WISHES, st.integers(-4, 8))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_no_more_is_granted_than_there_is_room(self, wishes, free):
        granted = credit.grant(wishes, free, RULE)
        self.assertTrue(sum(granted.values()) <= free + RULE.lookahead)
        for entry, count in granted.items():
            self.assertTrue(0 < count <= wishes[entry].count)
