"""Tests of the ends of runs that an agent holds."""

import dataclasses

import testtools

from egretthread.scheduling import (
    agentengine,
    heldends,
    serverpoll,
    wantedlinks,
)
from egretthread.scheduling.agentboard import ServerRecord, TaskName
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import EntryBeat, HeldEnds, SettleEnds
from egretthread.scheduling.servercall import (
    EndedRun,
    PollResult,
    ServerEnd,
    Verdict,
)

SERVER = "i-1@1"


class TestHeldEnds(testtools.TestCase):
    """A newly started agent finds ends of runs of an earlier process."""

    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#2", 2, 100.0)
        record = ServerRecord(
            "i-1", 1, "match", "a", (), Room(8000, 64, 0), False, 0.0, 1
        )
        agentengine.on_heartbeat(self.board, record, 1000)
        agentengine.on_link_open(self.board, "e#1")
        self.poll(
            EndedRun(1, TaskName("k", 0, 0), 1, ServerEnd.DONE),
            EndedRun(2, TaskName("k", 0, 1), 1, ServerEnd.STOPPED),
            EndedRun(3, TaskName("k", 0, 2), 1, ServerEnd.FAILED),
        )

    def poll(self, *ended, started_unix_ms=1):
        call = serverpoll.next_poll(self.board)
        result = PollResult(Verdict.OK, 1000, started_unix_ms, (), ended)
        agentengine.on_poll_result(self.board, call, result)

    def settle(self, taken=(), void_ends=(), server=SERVER):
        settled = SettleEnds(server, taken, void_ends)
        agentengine.on_message(self.board, "e#1", settled)

    def test_ends_are_held_until_they_are_settled(self):
        self.assertEqual(0, self.board.last_seen)
        self.settle(taken=(1,))
        self.assertEqual(2, self.board.last_seen)
        self.settle(taken=(3,))
        self.assertEqual(3, self.board.last_seen)

    def test_ends_of_another_incarnation_are_not_settled(self):
        for server in ("i-0@1", "i-1@0", "i-1@2", "i-1"):
            self.settle(taken=(1, 3), server=server)
            self.assertEqual(0, self.board.last_seen)

    # LOST: ends after a restart under the same id were taken for earlier ones.
    def test_ends_after_a_restart_have_names_of_their_own(self):
        agentengine.on_tick(self.board)
        self.poll(started_unix_ms=2)
        record = dataclasses.replace(
            self.board.server, started_unix_ms=2, sequence=1
        )
        agentengine.on_heartbeat(self.board, record, 10)
        end = EndedRun(1, TaskName("k", 0, 5), 1, ServerEnd.DONE)
        self.poll(end, started_unix_ms=2)
        self.board.now_s += 2 * heldends.RESEND_S
        agentengine.on_tick(self.board)
        sent = [m for _, m in self.board.outbox if isinstance(m, HeldEnds)]
        names = {(m.server, row.sequence): row for m in sent for row in m.rows}
        self.assertEqual(0, names["i-1@1", 1].index)
        self.assertEqual(5, names["i-1@2", 1].index)
        self.settle(taken=(1,))
        self.assertEqual({1}, self.board.held_ends.keys())
        self.settle(taken=(1,), server="i-1@2")
        self.assertEqual({}, self.board.held_ends)

    # The first ends after a restart were discarded before they had been read.
    def test_a_restarted_server_is_not_told_of_ends_before(self):
        self.settle(taken=(1, 3))
        self.assertEqual(3, serverpoll.next_poll(self.board).last_seen)
        self.poll(started_unix_ms=2)
        self.assertEqual(0, serverpoll.next_poll(self.board).last_seen)

    # Guards against TWICE: the poll that found a restarted server made it
    # discard its first ends, so that tasks that were done started again.
    def test_a_poll_after_a_pause_acknowledges_nothing(self):
        self.settle(taken=(1, 3))
        self.poll()
        self.board.now_s += 1.0
        self.assertEqual(0, serverpoll.next_poll(self.board).last_seen)
        self.poll()
        self.assertEqual(3, serverpoll.next_poll(self.board).last_seen)

    def send_heartbeat(self, entry, kept_jobs):
        heartbeat = EntryBeat(
            self.board.clock_ms, 1, False, True, (), kept_jobs
        )
        agentengine.on_message(self.board, entry, heartbeat)

    def test_ends_are_not_held_where_there_are_no_kept_jobs(self):
        agentengine.on_link_open(self.board, "e#2")
        self.send_heartbeat("e#1", kept_jobs=False)
        self.board.now_s += 2 * heldends.RESEND_S
        agentengine.on_tick(self.board)
        self.assertEqual(0, self.board.last_seen)
        self.send_heartbeat("e#2", kept_jobs=False)
        self.board.now_s += 2 * heldends.RESEND_S
        agentengine.on_tick(self.board)
        self.assertEqual(3, self.board.last_seen)
        self.poll(EndedRun(4, TaskName("k", 0, 7), 1, ServerEnd.DONE))
        self.assertEqual(4, self.board.last_seen)

    def test_void_ends_are_removed_once_the_lease_has_expired(self):
        lease_end_s = self.board.server_lease_end_s
        self.settle(taken=(3,), void_ends=(1,))
        self.assertEqual(0, serverpoll.next_poll(self.board).until_ms)
        self.board.now_s = lease_end_s
        agentengine.on_tick(self.board)
        self.assertEqual(0, self.board.last_seen)
        self.board.now_s = lease_end_s + 2 * heldends.EXPIRY_MARGIN_S
        agentengine.on_tick(self.board)
        self.assertEqual(3, self.board.last_seen)
        self.assertGreater(serverpoll.next_poll(self.board).until_ms, 0)

    def test_unsettled_ends_do_not_hide_later_ones(self):
        name = TaskName("k", 0, 3)
        self.poll(
            *(
                EndedRun(number, name, number, ServerEnd.STOPPED)
                for number in range(4, heldends.MAX_LISTED + 5)
            )
        )
        agentengine.on_tick(self.board)
        self.assertEqual({1, 3}, self.board.void_ends)

    # Guards against a second run of a task that is done: no linked entry
    # coordinated its job.
    def test_an_agent_wants_links_with_the_coordinators_of_its_ends(self):
        told = SettleEnds(SERVER, (), (), ("e2:7600",))
        agentengine.on_message(self.board, "e#1", told)
        self.assertEqual(("e2:7600",), wantedlinks.addresses(self.board))
        self.assertEqual({1, 3}, self.board.held_ends.keys())
        self.board.now_s += wantedlinks.KEEP_S + 0.1
        self.assertEqual((), wantedlinks.addresses(self.board))
