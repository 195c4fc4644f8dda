"""Tests of the lease of the runs at a backend server."""

import testtools

from egretthread.scheduling import (
    agentengine,
    leaserule,
    serverlease,
    serverpoll,
)
from egretthread.scheduling.agentboard import (
    ServerRecord,
    StopCall,
    TaskName,
)
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    EntryBeat,
    RunEnd,
    RunOrder,
    StartRuns,
    StopRuns,
)
from egretthread.scheduling.servercall import (
    CallResult,
    EndedRun,
    PollResult,
    RunningRun,
    ServerEnd,
    Verdict,
)
from tests.scheduling import fakeserver, test_leaserule, test_runorders

POLL_S = 0.05
OTHER_ENTRY = "f#1"


class LeaseCase(test_runorders.AgentCase):
    """An agent with one run of an entry, whose stops are not answered."""

    def setUp(self):
        super().setUp()
        self.order()
        (start,) = self.starts()
        agentengine.on_call_result(self.board, start, CallResult(Verdict.OK))
        (self.run,) = self.board.runs.values()
        self.until_s = 0.0

    def poll(self, ended=()):
        """Polls the backend server, which lists the run unless it has ended."""
        board = self.board
        call = serverpoll.next_poll(board)
        if call.until_ms:
            until_s = (call.until_ms - board.clock_offset_ms) / 1000
            self.until_s = max(self.until_s, until_s)
        running = ()
        if not ended and self.board.runs_by_task:
            running = (RunningRun(self.run.name, self.run.number, 10),)
        result = PollResult(
            Verdict.OK,
            board.clock_ms + board.clock_offset_ms,
            running=running,
            ended=ended,
        )
        agentengine.on_poll_result(board, call, result)

    def renew_coordinator(self):
        heartbeat = EntryBeat(self.board.clock_ms, 0, False, True)
        agentengine.on_message(self.board, test_runorders.ENTRY, heartbeat)

    def play(self, seconds):
        """Polls, ticks and leaves all stops unanswered for some time."""
        end_s = self.board.now_s + seconds
        while self.board.now_s < end_s:
            self.board.now_s += POLL_S
            agentengine.on_tick(self.board)
            self.poll()

    def stops(self):
        return [c for c in self.board.calls if isinstance(c, StopCall)]


class TestLease(LeaseCase):
    # Guards against TWICE: runs whose stop was not answered kept their lease
    # after that of their coordinator had ended.
    def test_the_lease_of_a_lapsed_run_is_not_renewed_without_its_stop(self):
        lease_end_s = self.board.coordinators["e#1"].lease_end_s
        self.play(3.0)
        self.assertGreater(len(self.stops()), 3)
        self.assertGreater(self.until_s, lease_end_s)
        limit_s = lease_end_s + leaserule.LAPSED_STOP_LIMIT_S
        self.assertLessEqual(self.until_s, limit_s)

    # Guards against TWICE: runs whose stop was not answered kept their lease
    # after their coordinator had answered their job.
    def test_the_lease_of_a_run_ordered_to_stop_is_not_renewed_for_long(self):
        order = StopRuns("j", (1,))
        agentengine.on_message(self.board, test_runorders.ENTRY, order)
        ordered_s = self.board.now_s
        for _ in range(30):
            self.renew_coordinator()
            self.play(0.1)
        self.assertLessEqual(self.until_s, ordered_s + leaserule.STOP_LIMIT_S)

    def test_the_end_of_a_lease_counts_though_its_coordinator_is_back(self):
        lease_end_s = self.board.coordinators["e#1"].lease_end_s
        self.play(leaserule.COORDINATOR_LEASE_S + 0.1)
        for _ in range(30):
            self.renew_coordinator()
            self.play(0.1)
        limit_s = lease_end_s + leaserule.LAPSED_STOP_LIMIT_S
        self.assertLessEqual(self.until_s, limit_s)

    def test_a_run_that_has_stopped_does_not_keep_the_lease_from_others(self):
        lease_end_s = self.board.coordinators["e#1"].lease_end_s
        self.play(leaserule.COORDINATOR_LEASE_S + 0.1)
        ended = EndedRun(1, self.run.name, self.run.number, ServerEnd.STOPPED)
        self.poll((ended,))
        self.assertEqual(RunEnd.STOPPED, self.ends()[-1])
        self.poll()
        self.assertGreater(
            self.until_s, lease_end_s + leaserule.LAPSED_STOP_LIMIT_S
        )

    # Guards against a server that is never used again: no stop was answered in
    # time on a busy machine.
    def test_stops_that_are_answered_late_are_given_more_time(self):
        self.play(leaserule.COORDINATOR_LEASE_S + 0.1)
        self.play(2.0)
        timeouts = [stop.timeout_s for stop in self.stops()]
        self.assertEqual(sorted(timeouts), timeouts)
        self.assertLess(timeouts[0], 0.1)
        self.assertGreater(timeouts[-1], 0.2)

    def test_a_coordinator_in_touch_keeps_the_whole_lease(self):
        for _ in range(20):
            self.renew_coordinator()
            self.play(0.1)
            lease_s = self.until_s - self.board.now_s
            self.assertGreater(lease_s, leaserule.SERVER_LEASE_S - 0.002)

    def test_nothing_is_started_while_a_lapsed_run_may_go_on(self):
        agentengine.on_link_open(self.board, OTHER_ENTRY)
        self.play(leaserule.COORDINATOR_LEASE_S + 0.25)
        self.board.calls.clear()
        self.order_of(OTHER_ENTRY)
        self.assertFalse(serverlease.may_start(self.board))
        self.assertEqual([], self.starts())
        ended = EndedRun(1, self.run.name, self.run.number, ServerEnd.STOPPED)
        self.poll((ended,))
        self.assertEqual(1, len(self.starts()))

    def order_of(self, entry):
        """Orders a run of another entry."""
        echo_ms = self.board.clock_ms
        order = test_runorders.StartRuns(
            "k",
            "x",
            1000,
            1,
            0,
            100,
            0,
            echo_ms,
            1000,
            (test_runorders.RunOrder(0, 0, 1),),
        )
        agentengine.on_message(self.board, entry, order)
        agentengine.after_event(self.board)


class TestLateOrder(LeaseCase):
    # Guards against TWICE: an order that was held up, of a coordinator that had
    # been lost meanwhile, renewed the lease of its earlier runs.
    def test_a_late_order_does_not_prolong_the_runs_of_a_lost_entry(self):
        lost_s = self.board.now_s
        self.play(0.7)
        self.order(age_ms=700, transit_ms=700, attempt=2, job="k")
        self.play(2.0)
        self.assertLessEqual(self.until_s, lost_s + test_leaserule.RESUBMIT_S)


class TestRestart(testtools.TestCase):
    """An agent process that finds a run of an earlier one."""

    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#2", 5, 100.0)
        record = ServerRecord(
            "i-1", 1, "match", "a", (), Room(8000, 64, 0), False, 0.0, 1
        )
        agentengine.on_heartbeat(self.board, record, 1000)
        agentengine.on_link_open(self.board, test_runorders.ENTRY)

    def poll(self, *running):
        """Polls the backend server; returns the end of the renewed lease."""
        board = self.board
        board.now_s += POLL_S
        agentengine.on_tick(board)
        call = serverpoll.next_poll(board)
        result = PollResult(Verdict.OK, board.clock_ms, 1, running)
        agentengine.on_poll_result(board, call, result)
        return call.until_ms

    # Guards against TWICE: a restarted agent kept the runs of its earlier
    # process alive for as long as their stops were not answered.
    def test_the_lease_of_unknown_runs_is_not_renewed(self):
        unknown = RunningRun(TaskName("j", 0, 0), 1, 10)
        untils = {self.poll(unknown) for _ in range(60)}
        self.assertEqual({0}, untils)
        self.assertFalse(serverlease.may_start(self.board))
        self.assertTrue(agentengine.needs_poll(self.board))

    def test_the_lease_is_renewed_once_unknown_runs_have_ended(self):
        self.poll(RunningRun(TaskName("j", 0, 0), 1, 10))
        self.poll()
        self.assertTrue(serverlease.may_start(self.board))
        self.assertGreater(self.poll(), self.board.clock_ms)


class TestIdleServer(testtools.TestCase):
    """A backend server that gets its first start after a time without runs."""

    def start_after(self, idle_s, drift):
        """Returns the lease that is left with the run, and the start calls.

        Args:
            idle_s: Time since the last poll.
            drift: Share by which the server's clock runs slow.
        """
        server = fakeserver.FakeServer(
            "s", "a", 8000, 90.0, lambda name: 9.0, drift
        )
        board = agentengine.new_board("a#1", 5, 100.0)
        record = server.heartbeat(board.now_s)
        clock_ms = server.clock_ms(board.now_s)
        agentengine.on_heartbeat(board, record, clock_ms)
        call = serverpoll.next_poll(board)
        result = server.poll(call, board.now_s)
        agentengine.on_poll_result(board, call, result)
        agentengine.on_link_open(board, test_runorders.ENTRY)
        board.now_s += idle_s
        order = StartRuns(
            "j", "x", 1, 1, 0, 9, 0, board.clock_ms, 9, (RunOrder(0, 0, 1),)
        )
        agentengine.on_message(board, test_runorders.ENTRY, order)
        agentengine.after_event(board)
        calls = 0
        while board.calls:
            calls += 1
            start = board.calls.pop()
            result = server.start(start, board.now_s)
            agentengine.on_call_result(board, start, result)
        self.assertEqual(1, len(server.runs))
        left_ms = server.lease_until_ms - server.clock_ms(board.now_s)
        return left_ms / 1000 / (1 - drift), calls

    # Guards against TWICE: after an idle time, a server with a slow clock was
    # granted up to twice the lease that others counted on.
    def test_a_slow_clock_gets_no_longer_lease_after_an_idle_time(self):
        for idle_s in (0.0, 1.0, 4.0, 6.0, 20.0, 60.0, 3600.0):
            lease_s, _ = self.start_after(idle_s, leaserule.CLOCK_DRIFT)
            self.assertLess(lease_s, leaserule.max_server_lease_s() + 0.004)

    def test_most_of_the_lease_is_left_whatever_the_clock(self):
        for idle_s in (0.0, 1.0, 4.0, 6.0, 20.0, 60.0, 3600.0):
            for drift in (0.0, leaserule.CLOCK_DRIFT):
                lease_s, _ = self.start_after(idle_s, drift)
                self.assertGreater(lease_s, 0.75 * leaserule.SERVER_LEASE_S)

    def test_a_server_that_was_idle_for_short_is_called_once(self):
        for idle_s in (0.0, 1.0, 4.0):
            self.assertEqual(1, self.start_after(idle_s, 0.0)[1])
        self.assertEqual(2, self.start_after(60.0, 0.0)[1])
