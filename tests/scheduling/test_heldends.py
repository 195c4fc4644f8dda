"""Tests of the ends that an agent holds."""

import testtools

from egretthread.scheduling import agentengine, heldends, runlooks
from egretthread.scheduling.agentboard import ServerRecord, TaskName
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import EntryBeat, SettleEnds
from egretthread.scheduling.servercall import (
    EndedRun,
    PollResult,
    ServerEnd,
    Verdict,
)

SERVER = "i-1"


class TestHeldEnds(testtools.TestCase):
    """An agent that has just started finds ends of its predecessor's runs."""

    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#2", 2, 100.0)
        record = ServerRecord(
            SERVER, 1, "match", "a", (), Room(8000, 64, 0), False, 0.0, 1
        )
        agentengine.on_heartbeat(self.board, record, 1000)
        agentengine.on_link(self.board, "e#1")
        self.poll(
            EndedRun(1, TaskName("k", 0, 0), 1, ServerEnd.DONE),
            EndedRun(2, TaskName("k", 0, 1), 1, ServerEnd.STOPPED),
            EndedRun(3, TaskName("k", 0, 2), 1, ServerEnd.FAILED),
        )

    def poll(self, *rows):
        call = runlooks.next_look(self.board)
        look = PollResult(Verdict.OK, 1000, 1, (), rows)
        agentengine.on_look(self.board, call, look)

    def settle(self, taken=(), void=(), server=SERVER):
        item = SettleEnds(server, taken, void)
        agentengine.on_message(self.board, "e#1", item)

    def test_ends_are_held_until_they_are_settled(self):
        self.assertEqual(0, self.board.last_seen)
        self.settle(taken=(1,))
        self.assertEqual(2, self.board.last_seen)
        self.settle(taken=(3,))
        self.assertEqual(3, self.board.last_seen)

    def test_ends_of_another_incarnation_are_not_settled(self):
        self.settle(taken=(1, 3), server="i-0")
        self.assertEqual(0, self.board.last_seen)

    def beat(self, entry, kept_jobs):
        beat = EntryBeat(self.board.clock_ms, 1, False, True, (), kept_jobs)
        agentengine.on_message(self.board, entry, beat)

    def test_ends_are_not_held_where_there_are_no_kept_jobs(self):
        agentengine.on_link(self.board, "e#2")
        self.beat("e#1", kept_jobs=False)
        self.board.now_s += 2 * heldends.OFFER_S
        agentengine.on_tick(self.board)
        self.assertEqual(0, self.board.last_seen)
        self.beat("e#2", kept_jobs=False)
        self.board.now_s += 2 * heldends.OFFER_S
        agentengine.on_tick(self.board)
        self.assertEqual(3, self.board.last_seen)
        self.poll(EndedRun(4, TaskName("k", 0, 7), 1, ServerEnd.DONE))
        self.assertEqual(4, self.board.last_seen)

    def test_void_ends_are_forgotten_once_the_lease_has_lapsed(self):
        lease_end_s = self.board.lease_end_s
        self.settle(taken=(3,), void=(1,))
        self.assertEqual(0, runlooks.next_look(self.board).until_ms)
        self.board.now_s = lease_end_s
        agentengine.on_tick(self.board)
        self.assertEqual(0, self.board.last_seen)
        self.board.now_s = lease_end_s + 2 * heldends.LAPSE_MARGIN_S
        agentengine.on_tick(self.board)
        self.assertEqual(3, self.board.last_seen)
        self.assertGreater(runlooks.next_look(self.board).until_ms, 0)

    def test_ends_that_nobody_settles_do_not_hide_later_ones(self):
        name = TaskName("k", 0, 3)
        self.poll(
            *(
                EndedRun(number, name, number, ServerEnd.STOPPED)
                for number in range(4, heldends.MAX_LISTED + 5)
            )
        )
        agentengine.on_tick(self.board)
        self.assertEqual({1, 3}, self.board.void)
