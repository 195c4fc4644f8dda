"""Tests of what an entry tells the other entries."""

import asyncio

import testtools

from egretthread import clock, util
from egretthread.listeners import Listeners
from egretthread.scheduling import entryserver, nodesettings, peerload
from egretthread.scheduling.caller import Caller
from egretthread.scheduling.entryboard import Outcome
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
    PendingJobs,
)
from tests.aio import free_port
from tests.platform.test_operators import until
from tests.scheduling import region


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


class TestPendingJobs(testtools.TestCase):
    """Waiting jobs that are not counted while partitions are handed over."""

    def entry(self, hellos):
        entry = TestHellos.entry(self, others=2)
        entry.add_entries = lambda addresses: None
        for hello in hellos:
            entry._on_messages(StubPeer(f"{hello.address}#1"), (hello,))
        return entry

    def hello(self, number, parts=(), jobs=0):
        pending = (PendingJobs("orders", jobs),) if jobs else ()
        return EntryHello(f"127.0.0.{number}:7600", 0, parts, pending)

    # Guards against a count that falls as the first hello of a restarted entry
    # replaces what its former process has told.
    def test_a_restarted_entry_does_not_lower_the_count(self):
        entry = self.entry([self.hello(2, (0, 1), 5), self.hello(3, (2,), 4)])
        for after, expected in (
            (self.hello(2), 9),
            (self.hello(3), 9),
            # Another entry has loaded the partitions; a job has started.
            (self.hello(3, (0, 1, 2), 8), 8),
            (self.hello(3, (0, 2), 6), 8),
            (self.hello(2, (1,), 2), 8),
        ):
            entry._on_messages(StubPeer("e#2"), (after,))
            self.assertEqual(expected, entry.pending_kept_jobs("orders"))
            self.assertEqual(0, entry.pending_kept_jobs("others"))

    # Guards against a count that falls once an entry has been silent, before
    # its partitions have been loaded elsewhere.
    def test_a_lost_entry_does_not_lower_the_count(self):
        entry = self.entry([self.hello(2, (0, 1), 5)])
        late_s = clock.monotonic_s() + entryserver.MAX_HELLO_AGE_S
        self.patch(clock, "monotonic_s", lambda: late_s)
        self.assertEqual(5, entry.pending_kept_jobs("orders"))
        entry._drop_old_hellos()
        self.assertEqual(5, entry.pending_kept_jobs("orders"))
        hello = self.hello(3, (0, 1), 4)
        entry._on_messages(StubPeer("e3#1"), (hello,))
        self.assertEqual(4, entry.pending_kept_jobs("orders"))

    # Guards against a count that is too low as an entry loses some partitions
    # and loads others between two hellos.
    def test_partitions_that_are_swapped_are_all_counted(self):
        entry = self.entry([self.hello(2, (0,), 5), self.hello(3, (1,), 4)])
        for after, lowest in (
            (self.hello(2, (1,), 4), 9),
            (self.hello(3, (0,), 5), 9),
        ):
            entry._on_messages(StubPeer("e#2"), (after,))
            count = entry.pending_kept_jobs("orders")
            self.assertGreaterEqual(count, lowest)
        self.assertEqual(9, entry.pending_kept_jobs("orders"))


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


class TestCancellations(testtools.TestCase):
    """A job that is not kept is cancelled at another entry than its own."""

    def settings(self, number, port):
        return nodesettings.NodeSettings(
            name=f"e{number}",
            zone="a",
            host=f"127.0.0.{number + 1}",
            link_port=port,
            shared_key="0123456789abcdef",
            store_address="127.0.0.1:1",
            seeds=tuple(f"127.0.0.{n + 1}:1" for n in range(3)),
        )

    async def start(self, number, port):
        entry = entryserver.EntryServer(
            self.settings(number, port), None, Listeners()
        )
        await entry.start()
        return entry

    def submit(self, entry):
        return entry.submit(
            region.job("j"),
            region.ROUTE,
            Caller(clock.monotonic_s(), 9.0, lambda: False),
        )

    async def run_scenario(self):
        port = free_port()
        entries = [await self.start(number, port) for number in range(2)]
        first, second = entries
        await until(
            lambda: all(
                any(client.peer for client in entry.entry_clients.values())
                for entry in entries
            )
        )
        answer = self.submit(second)
        self.assertFalse(first.cancel_open("j"))
        self.assertTrue(await first.cancel_elsewhere("j"))
        self.assertIs(Outcome.CANCELLED, (await answer).outcome)
        self.assertEqual({}, second.board.jobs)
        self.assertFalse(await first.cancel_elsewhere("j"))
        # An entry that could not be reached at that time.
        entries.append(await self.start(2, port))
        await until(lambda: "j" in entries[2].cancelled.cancelled_s)
        for entry in entries:
            answer = self.submit(entry)
            self.assertIs(Outcome.CANCELLED, (await answer).outcome)
            self.assertEqual({}, entry.board.jobs)
        for entry in entries:
            await entry.close()

    # Guards against UNASKED: a job went on after its cancellation had been
    # answered, as another entry had it.
    def test_a_job_is_cancelled_at_any_entry(self):
        asyncio.run(self.run_scenario())
