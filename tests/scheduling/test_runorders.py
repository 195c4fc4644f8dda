"""Tests of the agent's orders to its backend server."""

import testtools

from egretthread.scheduling import agentengine, leaserule, runorders
from egretthread.scheduling.agentboard import (
    ServerRecord,
    StartCall,
    StopCall,
    TaskName,
)
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    EntryBeat,
    RunEnd,
    RunOrder,
    StartRuns,
)
from egretthread.scheduling.servercall import CallResult, Verdict

ENTRY = "e#1"


class TestOrders(testtools.TestCase):
    """An agent with a backend server, and one entry."""

    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#1", 5, 100.0)
        record = ServerRecord(
            "i-1", 1, "match", "a", (), Room(8000, 64, 0), False, 0.0, 1
        )
        agentengine.on_heartbeat(self.board, record, 1000)
        agentengine.on_link(self.board, ENTRY)

    def order(self, age_ms=0, attempt=1, cpu=1000):
        echo_ms = self.board.clock_ms - age_ms
        order = StartRuns(
            "j", "x", cpu, 1, 0, 100, 0, echo_ms, 10, (RunOrder(0, 0, attempt),)
        )
        agentengine.on_message(self.board, ENTRY, order)
        agentengine.after_event(self.board)

    def starts(self):
        return [c for c in self.board.calls if isinstance(c, StartCall)]

    def ends(self):
        return [
            row.end
            for _, item in self.board.outbox
            for row in getattr(item, "rows", ())
            if hasattr(row, "end")
        ]

    def test_an_order_that_was_held_up_is_refused(self):
        """Its entry may have given the tasks to others meanwhile."""
        self.order(age_ms=leaserule.ORDER_AGE_MS + 1)
        self.assertEqual([], self.starts())
        self.assertEqual([RunEnd.REFUSED], self.ends())
        self.order(age_ms=leaserule.ORDER_AGE_MS)
        self.assertEqual(1, len(self.starts()))

    def test_runs_stop_once_their_entry_was_silent_for_its_lease(self):
        self.order()
        result = CallResult(Verdict.OK)
        agentengine.on_call_result(self.board, self.starts()[0], result)
        self.board.now_s += leaserule.COORDINATOR_LEASE_S - 0.01
        runorders.renew_lease(self.board)
        agentengine.on_tick(self.board)
        self.assertEqual(1, len(self.board.calls))
        self.board.now_s += 0.02
        agentengine.on_tick(self.board)
        self.assertIsInstance(self.board.calls[-1], StopCall)

    def test_an_old_reading_renews_nothing(self):
        self.order()
        lease_s = self.board.coordinators[ENTRY].lease_s
        beat = EntryBeat(self.board.clock_ms - 600, 0, False, True)
        agentengine.on_message(self.board, ENTRY, beat)
        self.assertEqual(lease_s, self.board.coordinators[ENTRY].lease_s)

    def test_a_withdrawn_zone_starts_nothing(self):
        beat = EntryBeat(self.board.clock_ms, 7, True, True)
        agentengine.on_message(self.board, ENTRY, beat)
        self.order()
        self.assertEqual([], self.starts())
        self.assertEqual([RunEnd.REFUSED], self.ends())

    def test_a_task_larger_than_the_server_is_refused(self):
        self.order(cpu=8001)
        self.assertEqual([RunEnd.REFUSED], self.ends())


class TestBarredRuns(testtools.TestCase):
    def test_a_run_is_barred_until_the_server_confirms_it(self):
        """Nothing starts meanwhile, so the agent would serve no more."""
        board = agentengine.new_board("a#1", 5, 10.0)
        name = TaskName("j", 0, 0)
        board.barred.append(StopCall(name, 3, "i-1", 5))
        agentengine.on_tick(board)
        board.now_s += 0.02
        agentengine.on_tick(board)
        (first,) = board.calls
        board.token = 6
        board.now_s += runorders.STOP_RETRY_S
        agentengine.on_tick(board)
        second = board.calls[1]
        self.assertEqual(
            (name, 3, 6), (second.name, second.number, second.token)
        )
        agentengine.on_call_result(board, second, CallResult(Verdict.OK))
        self.assertEqual([], board.barred)
