"""Focused histories of the entries' list."""

import dataclasses
import json

import testtools

from egretthread import witness
from egretthread.controllers import entry_members
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
ABSENT_S = entry_members.REMOVE_ENTRY_AFTER_S + 20.0


def _removed(region: world.World) -> list[str]:
    records = [json.loads(text) for text in region.members]
    return [r["name"] for r in records if r["kind"] == "entry_down"]


class EntriesTest(testtools.TestCase):
    def test_entry_that_does_not_read_the_log_removes_no_other(self):
        # Found by the seeded history 50314: it became the only entry that it
        # knew, took itself for a majority and went on with an old
        # configuration.
        region = world.World(1, faults=False)
        region.run(SETTLE_S)
        region.cut_off_stream("e1", "config")
        pairs = {frozenset(("e1", name)) for name in ("e2", "e3")}
        region.partition(set(), pairs)
        region.run(ABSENT_S)
        self.assertEqual({"e1"}, set(_removed(region)))

    def test_entry_that_announces_itself_again_is_not_removed_at_once(self):
        region = world.World(2, faults=False)
        region.run(SETTLE_S)
        pairs = {frozenset(("e1", name)) for name in ("e2", "e3")}
        region.partition(set(), pairs)
        region.run(ABSENT_S)
        known = region.processes["e2"].board.membership.entries
        self.assertEqual({"e1", "e2", "e3"}, set(known))
        region.run(ABSENT_S / 2)
        self.assertEqual(len(set(_removed(region))), len(_removed(region)))

    def test_configuration_heard_of_is_not_forgotten_with_its_reader(self):
        region = world.World(3, faults=False)
        region.run(SETTLE_S)
        for name in ("e2", "e3"):
            region.cut_off_stream(name, "config")
        region.publish(lambda old: dataclasses.replace(old, retention_s=100.0))
        region.run(3.0)
        region.set_log_out(True)
        region.kill("e1")
        region.run(SETTLE_S + 10.0)
        for name in ("e2", "e3"):
            self.assertFalse(region.processes[name].board.lease_open)
