"""Tests of the selection of entries that an agent keeps links with."""

import collections

import testtools

from egretthread.scheduling import linkchoice

ENTRIES = tuple(f"10.1.0.{number}:7720" for number in range(12))
AGENTS = tuple(f"side-{number}" for number in range(400))


class TestChoice(testtools.TestCase):
    def test_a_small_site_is_fully_connected(self):
        few = ENTRIES[: linkchoice.LINKS_PER_AGENT]
        self.assertEqual(set(few), set(linkchoice.choose("a", few, ())))

    def test_a_large_fleet_is_spread_evenly_over_the_entries(self):
        counts = collections.Counter()
        for agent in AGENTS:
            counts.update(linkchoice.choose(agent, ENTRIES, ()))
        mean = len(AGENTS) * linkchoice.LINKS_PER_AGENT / len(ENTRIES)
        self.assertEqual(set(ENTRIES), set(counts))
        self.assertLess(max(counts.values()), 1.3 * mean)
        self.assertGreater(min(counts.values()), 0.7 * mean)

    def test_an_unreachable_entry_is_replaced_and_stays_selected(self):
        for agent in AGENTS[:50]:
            before = linkchoice.choose(agent, ENTRIES, ())
            lost = before[:2]
            after = linkchoice.choose(agent, ENTRIES, lost)
            self.assertEqual(before, after[: linkchoice.LINKS_PER_AGENT])
            reachable = [entry for entry in after if entry not in lost]
            self.assertEqual(linkchoice.LINKS_PER_AGENT, len(reachable))

    def test_loss_of_a_zone_of_entries_selects_all_that_are_left(self):
        lost = ENTRIES[:8]
        for agent in AGENTS[:50]:
            chosen = linkchoice.choose(agent, ENTRIES, lost)
            self.assertTrue(set(ENTRIES[8:]) <= set(chosen))

    def test_a_new_entry_changes_few_links(self):
        changed = 0
        for agent in AGENTS:
            before = set(linkchoice.choose(agent, ENTRIES[:-1], ()))
            after = set(linkchoice.choose(agent, ENTRIES, ()))
            changed += len(before - after)
            self.assertTrue(after - before <= {ENTRIES[-1]})
        share = linkchoice.LINKS_PER_AGENT / len(ENTRIES)
        self.assertLess(changed, 1.3 * share * len(AGENTS))
