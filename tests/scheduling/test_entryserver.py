"""Tests of what an entry tells the other entries."""

import asyncio

import testtools

from egretthread import clock, util
from egretthread.listeners import Listeners
from egretthread.scheduling import entryserver, nodesettings, peerload
from egretthread.scheduling.jobspec import OperatorState
from egretthread.scheduling.loadsettings import LoadSettings
from egretthread.scheduling.runmessage import (
    EntryHello,
    EntryLoad,
    ForwardCancel,
    JobQuestion,
    LiveRun,
    LiveRuns,
    OperatorRecord,
)


class StubClient:
    """A link to another entry that records what is sent."""

    def __init__(self):
        self.sent = []
        self.peer = self

    def send(self, outgoing):
        self.sent.append(outgoing)


class TestHellos(testtools.TestCase):
    def entry(self, others):
        settings = nodesettings.NodeSettings(
            name="e0",
            zone="a",
            host="127.0.0.1",
            link_port=7600,
            shared_key="0123456789abcdef",
            store_address="127.0.0.1:1",
        )

        async def make():
            return entryserver.EntryServer(settings, None, Listeners())

        entry = asyncio.run(make())
        entry.entry_clients = {
            f"127.0.0.{n + 2}:7600": StubClient() for n in range(others)
        }
        return entry

    def count(self, entry, seconds, change_at=None):
        """Returns the hellos that one other entry gets."""
        now_s = [100.0]
        self.patch(clock, "monotonic_s", lambda: now_s[0])
        for second in range(seconds):
            if second == change_at:
                entry.board.operator_state = OperatorState(offset=7)
            entry._repeat_hello()
            now_s[0] += entryserver.HELLO_INTERVAL_S
        return len(next(iter(entry.entry_clients.values())).sent)

    def test_few_entries_get_each_hello(self):
        self.assertEqual(10, self.count(self.entry(others=3), 10))

    def test_many_entries_get_an_unchanged_hello_less_often(self):
        self.assertEqual(5, self.count(self.entry(others=34), 10))

    def test_a_changed_hello_is_sent_at_once(self):
        entry = self.entry(others=34)
        self.assertEqual(6, self.count(entry, 10, change_at=5))
        offsets = [
            hello.operator_offset
            for hello in next(iter(entry.entry_clients.values())).sent
        ]
        self.assertIn(7, offsets[3:4])

    def test_the_repetition_is_within_the_age_that_others_accept(self):
        longest_s = entryserver.HELLO_REPEAT_S + entryserver.HELLO_INTERVAL_S
        self.assertLessEqual(longest_s, entryserver.MAX_HELLO_AGE_S)


class StubPeer:
    """An open link that records what is sent."""

    def __init__(self, node, role="entry"):
        self.node = node
        self.role = role
        self.address = "127.0.0.2:7600"
        self.sent = []

    def send(self, outgoing):
        self.sent.append(outgoing)


class TestOperatorRecords(testtools.TestCase):
    # Guards against messages that are lost since they came with operators'
    # records that can't be decoded.
    def test_a_malformed_relay_changes_nothing(self):
        def decode_state(text):
            if text:
                return OperatorState(offset=7)
            raise util.EgretthreadError("malformed", "send another")

        entry = TestHellos.entry(self, others=0)
        entry.decode_state = decode_state
        peer = StubPeer("e1#1")
        messages = (OperatorRecord(8, ""), JobQuestion(1, "0" * 16))
        entry._on_messages(peer, messages)
        self.assertEqual(0, entry.board.operator_state.offset)
        self.assertEqual([1], [reply.number for reply in peer.sent])
        entry._on_messages(peer, (OperatorRecord(7, "state"),))
        self.assertEqual(7, entry.board.operator_state.offset)


class TestForwardedJobs(testtools.TestCase):
    def entry(self):
        entry = TestHellos.entry(self, others=0)
        entry.board.load = LoadSettings(forward_jobs=True)
        return entry

    def test_a_question_of_an_entry_is_answered_over_the_own_link_to_it(self):
        entry, peer = self.entry(), StubPeer("e1#1")
        entry._on_entry_open(peer)
        del peer.sent[:]
        entry._on_messages(StubPeer("e1#1"), (EntryLoad(3, True),))
        clock_ms = int(entry.board.now_s * 1000)
        self.assertEqual([EntryLoad(3, False, clock_ms=clock_ms)], peer.sent)

    def test_an_agent_can_not_pass_jobs_on(self):
        entry = self.entry()
        entry._on_messages(StubPeer("a1#1", "agent"), (ForwardCancel(1),))
        self.assertEqual({}, entry.board.forwarding.settled)
        self.assertEqual(1, entry.board.counters["unexpected_messages"])

    # An entry of an earlier release can't read the question and closes its
    # link.
    def test_only_entries_that_take_jobs_are_asked(self):
        entry = self.entry()
        for node, accepts_jobs in (("e1#1", True), ("e2#1", False)):
            entry._on_entry_open(StubPeer(node))
            hello = EntryHello("127.0.0.1:7600", 0, accepts_jobs=accepts_jobs)
            entry._on_messages(StubPeer(node), (hello,))
        self.assertEqual(["e1#1"], peerload.select(entry.board))

    def test_an_entry_is_asked_while_a_link_to_it_is_open(self):
        entry = self.entry()
        peers = [StubPeer("e1#1"), StubPeer("e1#1"), StubPeer("e2#1")]
        for peer in peers:
            entry._on_entry_open(peer)
        entry._on_entry_close(peers[0])
        self.assertEqual({"e1#1", "e2#1"}, entry.board.forwarding.peers)
        entry._on_entry_close(peers[1])
        self.assertEqual({"e2#1"}, entry.board.forwarding.peers)


class TestReplacedLink(testtools.TestCase):
    # TWICE: a late list over a former link ended runs that were ordered since.
    def test_a_list_of_live_runs_over_a_former_link_ends_no_run(self):
        entry = TestHellos.entry(self, others=0)
        former, newest = (StubPeer("a1#1", "agent") for _ in range(2))
        entry._on_open(former)
        view = entry.board.agents["a1#1"]
        view.tasks[5] = task = object()
        entry._on_open(newest)
        entry._on_messages(former, (LiveRuns(()),))
        self.assertEqual({5: task}, view.tasks)
        self.assertEqual({5}, view.unconfirmed)
        entry._on_messages(newest, (LiveRuns((LiveRun("j", 5),)),))
        self.assertEqual({5: task}, view.tasks)
        self.assertEqual(frozenset(), view.unconfirmed)
