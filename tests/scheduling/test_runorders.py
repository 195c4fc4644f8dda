"""Tests of the orders to an agent and of its calls to its backend server."""

import dataclasses

import testtools

from egretthread.scheduling import (
    agentengine,
    leaserule,
    runs,
    serverlease,
    serverpoll,
)
from egretthread.scheduling.agentboard import (
    ServerLeave,
    ServerRecord,
    StartCall,
    StopCall,
    TaskName,
)
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    AgentBeat,
    EntryBeat,
    RunEnd,
    RunOrder,
    RunReports,
    ServerState,
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

ENTRY = "e#1"


def poll_first(board):
    """Lets an agent find that its backend server has no earlier runs."""
    call = serverpoll.next_poll(board)
    agentengine.on_poll_result(board, call, PollResult(Verdict.OK))


class AgentCase(testtools.TestCase):
    """An agent with a backend server and one connected entry."""

    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#1", 5, 100.0)
        record = ServerRecord(
            "i-1", 1, "match", "a", (), Room(8000, 64, 0), False, 0.0, 1
        )
        agentengine.on_heartbeat(self.board, record, 1000)
        poll_first(self.board)
        agentengine.on_link_open(self.board, ENTRY)

    def order(self, age_ms=0, transit_ms=0, attempt=1, cpu=1000, job="j"):
        """Receives an order of one run.

        Args:
            age_ms: Age of the clock reading that it echoes.
            transit_ms: The part of that age spent in transit, with the order.
            attempt: Number of the attempt.
            cpu: CPU that the run takes.
            job: Id of the job.
        """
        echo_ms = self.board.clock_ms - age_ms
        order = StartRuns(
            job,
            "x",
            cpu,
            1,
            0,
            100,
            0,
            echo_ms,
            10,
            (RunOrder(0, 0, attempt),),
            echo_age_ms=age_ms - transit_ms,
        )
        agentengine.on_message(self.board, ENTRY, order)
        agentengine.after_event(self.board)

    def starts(self):
        return [c for c in self.board.calls if isinstance(c, StartCall)]

    def ends(self):
        return [
            report.end
            for _, message in self.board.outbox
            for report in getattr(message, "rows", ())
            if hasattr(report, "end")
        ]


class TestNumberedRuns(AgentCase):
    """The entry numbers the runs of kept jobs."""

    def order_numbered(self, number, attempt=1):
        order = StartRuns(
            "j",
            "x",
            1000,
            1,
            0,
            100,
            0,
            self.board.clock_ms,
            10,
            (RunOrder(0, 0, attempt, number),),
            kept=True,
        )
        agentengine.on_message(self.board, ENTRY, order)
        agentengine.after_event(self.board)

    def answer(self, *verdicts):
        for verdict in verdicts:
            call = self.board.calls[-1]
            agentengine.on_call_result(self.board, call, CallResult(verdict))

    def test_a_run_has_the_number_of_its_order(self):
        self.order_numbered(4)
        self.assertEqual([4], [start.number for start in self.starts()])

    def test_a_number_is_used_again_after_a_refused_start(self):
        self.order_numbered(4)
        self.answer(Verdict.UNHEALTHY)
        self.assertEqual([RunEnd.REFUSED], self.ends())
        self.order_numbered(4, attempt=2)
        self.assertEqual([4, 4], [start.number for start in self.starts()])

    # Guards against TWICE: a run had ended `done` after a start without an
    # answer, and was started again under a higher number.
    def test_a_repeated_start_that_is_old_is_stopped(self):
        self.order_numbered(4)
        self.answer(Verdict.NO_ANSWER, Verdict.STALE_NUMBER)
        self.assertEqual([4, 4], [start.number for start in self.starts()])
        self.assertIsInstance(self.board.calls[-1], StopCall)
        call = serverpoll.next_poll(self.board)
        start = self.starts()[0]
        ended = EndedRun(1, start.run.name, 4, ServerEnd.DONE)
        agentengine.on_poll_result(
            self.board, call, PollResult(Verdict.OK, 1, 1, (), (ended,))
        )
        (held,) = self.board.held_ends.values()
        self.assertEqual(
            (4, 1, RunEnd.DONE), (held.run, held.attempt, held.end)
        )

    def test_a_first_start_that_is_old_is_reported_as_stopped(self):
        self.order_numbered(4)
        self.answer(Verdict.STALE_NUMBER)
        self.assertEqual([RunEnd.STOPPED], self.ends())
        self.order_numbered(5, attempt=2)
        self.assertEqual([4, 5], [start.number for start in self.starts()])

    def test_the_end_of_a_run_with_another_number_has_none(self):
        self.order_numbered(4)
        self.answer(Verdict.OK)
        agentengine.on_message(self.board, ENTRY, StopRuns("j", (1,)))
        self.order_numbered(2, attempt=2)
        call = serverpoll.next_poll(self.board)
        name = self.starts()[0].run.name
        stopped = EndedRun(1, name, 4, ServerEnd.STOPPED)
        agentengine.on_poll_result(
            self.board, call, PollResult(Verdict.OK, 1, 1, (), (stopped,))
        )
        self.assertEqual([4, 5], [start.number for start in self.starts()])
        done = EndedRun(2, name, 5, ServerEnd.DONE)
        agentengine.on_poll_result(
            self.board,
            serverpoll.next_poll(self.board),
            PollResult(Verdict.OK, 1, 1, (), (done,)),
        )
        (held,) = self.board.held_ends.values()
        self.assertEqual((0, 2), (held.run, held.attempt))


class TestOrders(AgentCase):
    def test_a_delayed_order_is_refused(self):
        """Its entry may have dispatched the tasks to other agents since."""
        self.order(age_ms=leaserule.MAX_ORDER_AGE_MS + 1)
        self.assertEqual([], self.starts())
        self.assertEqual([RunEnd.REFUSED], self.ends())
        self.order(age_ms=leaserule.MAX_ORDER_AGE_MS)
        self.assertEqual(1, len(self.starts()))

    # Guards against TWICE: an order held up by a partition, in which its entry
    # ended, began a run after the job had been submitted again.
    def test_an_order_that_was_held_up_is_refused(self):
        limit_ms = leaserule.MAX_ORDER_TRANSIT_MS
        for age_ms in (limit_ms + 1, leaserule.MAX_ORDER_AGE_MS):
            self.order(age_ms=age_ms, transit_ms=limit_ms + 1)
        self.assertEqual([], self.starts())
        self.assertEqual([RunEnd.REFUSED] * 2, self.ends())
        self.order(age_ms=leaserule.MAX_ORDER_AGE_MS, transit_ms=limit_ms)
        self.assertEqual(1, len(self.starts()))

    def test_runs_stop_when_the_lease_of_their_entry_ends(self):
        self.order()
        result = CallResult(Verdict.OK)
        agentengine.on_call_result(self.board, self.starts()[0], result)
        self.board.now_s += leaserule.COORDINATOR_LEASE_S - 0.01
        serverlease.renew(self.board)
        agentengine.on_tick(self.board)
        self.assertEqual(1, len(self.board.calls))
        self.board.now_s += 0.02
        agentengine.on_tick(self.board)
        self.assertIsInstance(self.board.calls[-1], StopCall)

    def test_an_old_clock_reading_does_not_renew_the_lease(self):
        self.order()
        lease_end_s = self.board.coordinators[ENTRY].lease_end_s
        heartbeat = EntryBeat(self.board.clock_ms - 600, 0, False, True)
        agentengine.on_message(self.board, ENTRY, heartbeat)
        self.assertEqual(
            lease_end_s, self.board.coordinators[ENTRY].lease_end_s
        )

    def test_a_withdrawn_zone_starts_nothing(self):
        heartbeat = EntryBeat(self.board.clock_ms, 7, True, True)
        agentengine.on_message(self.board, ENTRY, heartbeat)
        self.order()
        self.assertEqual([], self.starts())
        self.assertEqual([RunEnd.REFUSED], self.ends())

    def test_a_task_larger_than_the_server_is_refused(self):
        self.order(cpu=8001)
        self.assertEqual([RunEnd.REFUSED], self.ends())


# Guards against a second run of a task that its entry has dispatched to another
# agent while this one was paused.
class TestPausedAgent(AgentCase):
    """An agent that is paused for longer than the lease of its entry."""

    PAUSE_S = 3.0

    def assert_not_retried(self, verdict):
        self.order()
        (start,) = self.starts()
        self.board.now_s += self.PAUSE_S
        agentengine.on_call_result(self.board, start, CallResult(verdict))
        self.assertEqual([start], self.starts())
        self.assertIsInstance(self.board.calls[-1], StopCall)

    def test_an_unanswered_start_is_not_retried(self):
        self.assert_not_retried(Verdict.NO_ANSWER)

    def test_a_start_with_an_expired_lease_is_not_retried(self):
        self.assert_not_retried(Verdict.LEASE_EXPIRED)

    def test_a_start_with_an_outdated_number_is_not_retried(self):
        self.assert_not_retried(Verdict.STALE_NUMBER)

    def test_a_fenced_start_is_not_retried(self):
        self.assert_not_retried(Verdict.FENCED)

    def test_a_queued_run_does_not_start(self):
        self.order(cpu=8000)
        (start,) = self.starts()
        agentengine.on_call_result(self.board, start, CallResult(Verdict.OK))
        self.order(job="k", attempt=2)
        poll = serverpoll.next_poll(self.board)
        self.board.now_s += self.PAUSE_S
        ended = EndedRun(1, start.run.name, start.number, ServerEnd.DONE)
        agentengine.on_poll_result(
            self.board, poll, PollResult(Verdict.OK, 1, 1, (), (ended,))
        )
        self.assertEqual([start], self.starts())


class TestBlockedRuns(testtools.TestCase):
    def test_a_run_stays_blocked_until_the_server_confirms_it(self):
        """The agent starts nothing until then, so the stop is retried.

        Without the retry, one lost stop would keep the agent idle for good.
        """
        board = agentengine.new_board("a#1", 5, 10.0)
        name = TaskName("j", 0, 0)
        board.blocked_runs.append(StopCall(name, 3, "i-1", 5))
        agentengine.on_tick(board)
        board.now_s += 0.02
        agentengine.on_tick(board)
        (first,) = board.calls
        board.token = 6
        board.now_s += runs.STOP_TIMEOUTS_S[-1]
        agentengine.on_tick(board)
        second = board.calls[1]
        self.assertEqual(
            (name, 3, 6), (second.name, second.number, second.token)
        )
        agentengine.on_call_result(board, second, CallResult(Verdict.OK))
        self.assertEqual([], board.blocked_runs)


class TestExclusiveRuns(testtools.TestCase):
    """Runs that must not share the backend server with other jobs."""

    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#1", 5, 100.0)
        record = ServerRecord(
            "i-1", 1, "match", "a", (), Room(8000, 64, 0), False, 0.0, 1
        )
        agentengine.on_heartbeat(self.board, record, 1000)
        poll_first(self.board)
        agentengine.on_link_open(self.board, ENTRY)

    def order(self, job, attempt, exclusive):
        order = StartRuns(
            job,
            "x",
            1000,
            1,
            0,
            100,
            0,
            self.board.clock_ms,
            400,
            (RunOrder(0, attempt, attempt),),
            exclusive=exclusive,
        )
        agentengine.on_message(self.board, ENTRY, order)
        agentengine.after_event(self.board)

    def started(self):
        return [
            call.run.name.job
            for call in self.board.calls
            if isinstance(call, StartCall)
        ]

    def end(self, job):
        for run in tuple(self.board.runs.values()):
            if run.name.job == job:
                runs.finish(self.board, run, RunEnd.DONE)
        agentengine.after_event(self.board)

    def test_an_exclusive_run_waits_for_the_server_to_empty(self):
        self.order("other", 1, exclusive=False)
        self.order("suspect", 2, exclusive=True)
        self.order("late", 3, exclusive=False)
        self.assertEqual(["other"], self.started())
        self.end("other")
        self.assertEqual(["other", "suspect"], self.started())
        self.end("suspect")
        self.assertEqual(["other", "suspect", "late"], self.started())

    def test_the_tasks_of_one_exclusive_job_run_together(self):
        self.order("suspect", 1, exclusive=True)
        self.order("suspect", 2, exclusive=True)
        self.order("another", 3, exclusive=True)
        self.assertEqual(["suspect", "suspect"], self.started())

    def test_no_room_is_offered_beside_an_exclusive_run(self):
        self.order("suspect", 1, exclusive=True)
        beats = [
            message
            for _, message in self.board.outbox
            if isinstance(message, AgentBeat)
        ]
        agentengine.send_heartbeat(self.board, self.board.coordinators[ENTRY])
        self.assertEqual(0, self.board.outbox[-1][1].free_cpu)
        self.assertEqual(8000, beats[0].free_cpu)


class TestEarlierIncarnation(testtools.TestCase):
    """Results of calls to an incarnation that has been replaced meanwhile."""

    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#1", 5, 100.0)
        self.register("i-1", 1, clock_ms=1000)
        agentengine.on_link_open(self.board, ENTRY)

    def register(self, server, started_unix_ms, clock_ms):
        record = ServerRecord(
            server,
            started_unix_ms,
            "match",
            "a",
            (),
            Room(8000, 64, 0),
            False,
            0.0,
            1,
        )
        agentengine.on_heartbeat(self.board, record, clock_ms)
        if self.board.candidate:
            # The server that it is to replace is found to have ended.
            lost = PollResult(Verdict.WRONG_INSTANCE)
            call = serverpoll.next_poll(self.board)
            agentengine.on_poll_result(self.board, call, lost)
        poll_first(self.board)

    def start(self, attempt):
        echo_ms = self.board.clock_ms
        order = StartRuns(
            "j",
            "x",
            9,
            1,
            0,
            100,
            0,
            echo_ms,
            10,
            (RunOrder(0, attempt, attempt),),
        )
        agentengine.on_message(self.board, ENTRY, order)
        agentengine.after_event(self.board)
        return self.board.calls.pop()

    def test_the_runs_of_the_new_incarnation_go_on(self):
        """Their entry would run the tasks a second time otherwise."""
        for server, started_unix_ms in (("i-2", 2), ("i-2", 3)):
            self.start(attempt=started_unix_ms)
            (run,) = self.board.runs.values()
            stop = runs.stop_call(self.board, run)
            poll = serverpoll.next_poll(self.board)
            self.register(server, started_unix_ms, clock_ms=5)
            self.start(attempt=started_unix_ms + 10)
            offset_ms = self.board.clock_offset_ms
            for verdict in (Verdict.WRONG_INSTANCE, Verdict.NOT_LISTENING):
                agentengine.on_call_result(
                    self.board, stop, CallResult(verdict, 70_000)
                )
                agentengine.on_poll_result(
                    self.board, poll, PollResult(verdict, 70_000)
                )
            agentengine.on_poll_result(
                self.board, poll, PollResult(Verdict.OK, 70_000)
            )
            self.assertEqual(1, len(self.board.runs))
            self.assertEqual(offset_ms, self.board.clock_offset_ms)
            self.board.runs.clear()
            self.board.runs_by_task.clear()

    def poll(self, verdict=Verdict.OK, born=0, running=()):
        self.board.now_s += 0.05
        call = serverpoll.next_poll(self.board)
        self.board.now_s += 0.01
        result = PollResult(verdict, 1000, born, running)
        agentengine.on_poll_result(self.board, call, result)

    def ends(self):
        return [
            (report.attempt, report.end)
            for _, message in self.board.outbox
            if isinstance(message, RunReports)
            for report in message.rows
        ]

    # TWICE: runs that a restarted server had started were reported as stopped.
    def test_a_run_at_a_successor_with_the_same_id_is_stopped_first(self):
        calls = [self.start(attempt) for attempt in (1, 2, 3)]
        self.board.now_s += 0.01
        for call in calls[:2]:
            agentengine.on_call_result(
                self.board, call, CallResult(Verdict.OK, 1000)
            )
        listed, silent = (
            RunningRun(call.run.name, call.number, 1) for call in calls[1:]
        )
        self.board.calls.clear()
        self.poll(born=2, running=(listed,))
        # The first run was at the former incarnation and has ended with it.
        self.assertEqual([(1, RunEnd.STOPPED)], self.ends())
        stops = {call.name: call for call in self.board.calls}
        self.assertEqual({listed.name, silent.name}, stops.keys())
        record = dataclasses.replace(
            self.board.server, started_unix_ms=2, sequence=1
        )
        agentengine.on_heartbeat(self.board, record, 5)
        agentengine.after_event(self.board)
        self.assertEqual(2, len(self.board.runs))
        for stop in stops.values():
            agentengine.on_call_result(
                self.board, stop, CallResult(Verdict.OK, 1000)
            )
        self.poll(born=2)
        self.assertEqual(
            [(n, RunEnd.STOPPED) for n in (1, 2, 3)], sorted(self.ends())
        )
        self.assertEqual(2, self.board.server.started_unix_ms)
        self.assertIs(ServerState.READY, self.board.state)

    # TWICE: runs were reported as stopped at a leave, before the server ended.
    def test_a_leave_stops_the_runs_that_are_still_at_work(self):
        for verdict in (Verdict.NOT_LISTENING, Verdict.OK):
            self.board.outbox.clear()
            self.register("i-1", self.board.clock_ms, clock_ms=1000)
            call = self.start(attempt=1)
            agentengine.on_call_result(
                self.board, call, CallResult(Verdict.OK, 1000)
            )
            agentengine.on_leave(self.board, ServerLeave("i-1"))
            agentengine.after_event(self.board)
            self.assertEqual([], self.ends())
            self.assertIs(ServerState.DRAINING, self.board.state)
            self.assertTrue(agentengine.needs_poll(self.board))
            (stop,) = self.board.calls
            self.board.calls.clear()
            agentengine.on_call_result(
                self.board, stop, CallResult(verdict, 1000)
            )
            self.poll()
            self.assertEqual([(1, RunEnd.STOPPED)], self.ends())
            self.assertIsNone(self.board.server)
            self.assertIs(ServerState.ABSENT, self.board.state)
            self.assertEqual([], self.board.crashes)
            self.board.now_s += 1.0

    def test_a_server_that_left_is_not_used_because_of_a_late_heartbeat(self):
        agentengine.on_leave(self.board, ServerLeave("i-1"))
        self.register("i-1", 1, clock_ms=1000)
        self.assertIs(ServerState.ABSENT, self.board.state)
        for server, started_unix_ms in (("i-1", 2), ("i-3", 3)):
            self.register(server, started_unix_ms, clock_ms=5)
            self.assertIs(ServerState.READY, self.board.state)
            agentengine.on_leave(self.board, ServerLeave(server))

    def test_a_late_answer_to_a_start_does_not_change_the_clock(self):
        call = self.start(attempt=1)
        self.register("i-2", 2, clock_ms=5)
        offset_ms = self.board.clock_offset_ms
        agentengine.on_call_result(
            self.board, call, CallResult(Verdict.OK, 70_000)
        )
        self.assertEqual(offset_ms, self.board.clock_offset_ms)
