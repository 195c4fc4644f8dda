"""Tests of the list of entries and of heartbeat replies to agents."""

import dataclasses
import json

import testtools

from egretthread import (
    config,
    entry,
    jobkey,
    members,
    message,
    settings,
    witness,
)
from egretthread.controllers import entry_members
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S
ABSENT_S = entry_members.REMOVE_ENTRY_AFTER_S + 20.0
SETTINGS = settings.EntrySettings(
    name="entry-1",
    region="eire-east",
    zone="a",
    http_address="127.0.0.1:0",
    admin_address="127.0.0.1:0",
    peer_address="127.0.0.1:0",
    log_url="http://127.0.0.1:1",
    shared_key="0123456789abcdef",
)
HEARTBEAT = message.Heartbeat(
    "agent-1#1", "a", "match", 1, 1, 8, 8, True, False, 0.0, 0.0, 0
)
ADOPTED = dataclasses.replace(HEARTBEAT, shard_epochs=((0, 2),))
MEMBER = members.EntryMember("entry-1", 1, "10.0.0.1:7000")


def _removed(region: world.World) -> list[str]:
    records = [json.loads(text) for text in region.members]
    return [r["name"] for r in records if r["kind"] == "entry_down"]


class EntriesTest(testtools.TestCase):
    def test_entry_that_does_not_read_the_log_removes_no_other(self):
        # Regression: an entry that was cut off from the log removed the other
        # entries, counted itself as a majority and kept using an old
        # configuration (fuzz seed 50314).
        region = world.World(1, faults=False)
        region.run(SETTLE_S)
        region.disconnect_from_stream("e1", "config")
        pairs = {frozenset(("e1", name)) for name in ("e2", "e3")}
        region.partition(set(), pairs)
        region.run(ABSENT_S)
        self.assertEqual({"e1"}, set(_removed(region)))

    def test_entry_that_registers_again_is_not_removed_at_once(self):
        region = world.World(2, faults=False)
        region.run(SETTLE_S)
        pairs = {frozenset(("e1", name)) for name in ("e2", "e3")}
        region.partition(set(), pairs)
        region.run(ABSENT_S)
        known = region.processes["e2"].board.membership.entries
        self.assertEqual({"e1", "e2", "e3"}, set(known))
        region.run(ABSENT_S / 2)
        self.assertEqual(len(set(_removed(region))), len(_removed(region)))

    def test_configuration_offset_outlives_the_entry_that_stated_it(self):
        region = world.World(3, faults=False)
        region.run(SETTLE_S)
        for name in ("e2", "e3"):
            region.disconnect_from_stream(name, "config")
        region.publish(lambda old: dataclasses.replace(old, retention_s=100.0))
        region.run(3.0)
        region.set_log_unavailable(True)
        region.kill("e1")
        region.run(SETTLE_S + 10.0)
        for name in ("e2", "e3"):
            self.assertFalse(region.processes[name].board.lease_open)


class HeartbeatReplyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.board = entry.new_board(SETTINGS, 1, 0.0, 1)
        configuration = config.Configuration(
            zones=(config.AvailabilityZone("a", "eire-east"),)
        )
        entry.on_configuration(self.board, 1, configuration)
        up = members.entry_up_record(MEMBER)
        entry.on_members_record(self.board, 1, up)
        self.give_shard(2)

    def give_shard(self, offset, name="agent-1"):
        record = members.shards_record(1, {0: (name,)})
        entry.on_members_record(self.board, offset, record)

    def reply_to(self, heartbeat):
        self.board.outbox.clear()
        entry.on_message(self.board, heartbeat.agent, heartbeat)
        return self.board.outbox[-1][1]

    def test_unchanged_state_is_sent_once(self):
        first = self.reply_to(HEARTBEAT)
        self.assertEqual((MEMBER.address,), first.entries)
        self.assertEqual([0], [view.shard for view in first.shards])
        second = self.reply_to(ADOPTED)
        self.assertEqual(((), ()), (second.entries, second.shards))

    def test_a_shard_is_sent_again_until_it_is_adopted(self):
        self.reply_to(HEARTBEAT)
        self.assertEqual(
            [0], [v.shard for v in self.reply_to(HEARTBEAT).shards]
        )

    def test_everything_is_sent_over_a_new_link(self):
        self.reply_to(HEARTBEAT)
        entry.on_agent_link_closed(self.board, HEARTBEAT.agent)
        entry.on_agent_link_open(self.board, HEARTBEAT.agent)
        again = self.reply_to(ADOPTED)
        self.assertEqual((MEMBER.address,), again.entries)
        self.assertEqual([0], [view.shard for view in again.shards])

    def test_a_newer_epoch_is_sent(self):
        self.reply_to(HEARTBEAT)
        self.reply_to(ADOPTED)
        self.give_shard(5)
        (view,) = self.reply_to(ADOPTED).shards
        self.assertEqual(5, view.epoch)

    def test_a_shard_that_moved_away_is_sent_while_it_is_adopted(self):
        self.reply_to(HEARTBEAT)
        self.give_shard(5, "agent-2")
        for _ in range(2):
            (view,) = self.reply_to(ADOPTED).shards
            self.assertEqual(("agent-2",), view.members)
        self.assertEqual((), self.reply_to(HEARTBEAT).shards)

    def test_seal_of_another_entry_is_forwarded(self):
        self.reply_to(HEARTBEAT)
        self.board.outbox.clear()
        job = jobkey.JobRef("dublin", "1796337912517-a")
        seal = message.Seal(
            job, message.Ballot(2, "entry-2#1"), HEARTBEAT.agent
        )
        entry.on_message(self.board, "entry-2#1", seal)
        self.assertEqual([(HEARTBEAT.agent, seal)], self.board.outbox)
