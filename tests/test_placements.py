"""Tests of the placement policies."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from egretthread import placement, placements
from egretthread.placements import random as random_policy

AGENTS = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.integers(-3, 8),
        st.sampled_from([0.0, 0.3, 1.0]),
        st.booleans(),
    ),
    max_size=12,
)


def views(agent_states):
    return [
        placement.AgentView(
            node=f"n{number}#1",
            zone=zone,
            slots=8,
            free=free,
            load_share=(8 - free) / 8,
            weight=weight,
            eligible=eligible,
        )
        for number, (zone, free, weight, eligible) in enumerate(agent_states)
    ]


class PlacementTest(testtools.TestCase):
    def test_unknown_policy_names_the_known_ones(self):
        error = self.assertRaises(
            placement.PlacementError, placements.find_policy, "best"
        )
        self.assertIn("late", error.remedy)

    @given(AGENTS, st.integers(0, 100))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_late_never_exceeds_idle_slots(self, agent_states, count):
        agents = views(agent_states)
        shares = placements.POLICIES["late"](agents, count)
        usable = {a.node: placement.usable_slots(a) for a in agents}
        self.assertEqual(len(shares), len(dict(shares)))
        for node, tasks in shares:
            self.assertTrue(0 < tasks <= usable[node])
        placed = sum(tasks for _, tasks in shares)
        self.assertEqual(min(count, sum(usable.values())), placed)

    def test_late_spreads_over_zones_in_few_batches(self):
        agents = views([(zone, 8, 1.0, True) for zone in "aaaabbbbccc"])
        shares = placements.POLICIES["late"](agents, 30)
        zones = {agent.node: agent.zone for agent in agents}
        by_zone = dict.fromkeys("abc", 0)
        for node, tasks in shares:
            by_zone[zones[node]] += tasks
        self.assertEqual({"a": 11, "b": 11, "c": 8}, by_zone)
        self.assertTrue(len(shares) <= 8)

    def test_least_balances_the_load(self):
        agents = views([("a", 8, 1.0, True), ("b", 4, 1.0, True)])
        shares = dict(placements.POLICIES["least"](agents, 8))
        self.assertEqual({"n0#1": 6, "n1#1": 2}, shares)

    def test_random_places_all_tasks_on_eligible_agents(self):
        agents = views([("a", 0, 1.0, True), ("b", 8, 1.0, False)])
        shares = random_policy.place(agents, 5, random.Random(1))
        self.assertEqual([("n0#1", 5)], shares)
