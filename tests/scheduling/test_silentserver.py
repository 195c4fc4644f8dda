"""Tests of a backend server that does not answer, with runs at it."""

from egretthread.scheduling import agentengine, serverpoll
from egretthread.scheduling.servercall import (
    CallResult,
    PollResult,
    RunningRun,
    Verdict,
)
from tests.scheduling import test_runorders

POLL_S = 0.08
LIMIT_S = 4.0


class TestSilentServer(test_runorders.AgentCase):
    def setUp(self):
        super().setUp()
        self.until_s = 0.0

    def start(self):
        """Starts a run; returns it."""
        self.order()
        (start,) = self.starts()
        agentengine.on_call_result(self.board, start, CallResult(Verdict.OK))
        (run,) = self.board.runs.values()
        return run

    def poll(self, result):
        """Polls, with its coordinator in touch."""
        board = self.board
        call = serverpoll.next_poll(board)
        if call.until_ms:
            until_s = (call.until_ms - board.clock_offset_ms) / 1000
            self.until_s = max(self.until_s, until_s)
        board.now_s += POLL_S
        agentengine.on_poll_result(board, call, result)
        for coordinator in board.coordinators.values():
            coordinator.lease_end_s = board.now_s + 1.0
        agentengine.on_tick(board)

    # Guards against LOST: runs at a server that is silent for good were held.
    def test_runs_at_a_silent_server_are_given_up(self):
        self.start()
        end_s = self.board.now_s + LIMIT_S
        while self.board.now_s < end_s:
            self.poll(PollResult(Verdict.NO_ANSWER))
        self.assertEqual({}, self.board.runs)

    def test_runs_at_a_server_that_rejects_polls_are_given_up(self):
        self.start()
        end_s = self.board.now_s + LIMIT_S
        while self.board.now_s < end_s:
            self.poll(PollResult(Verdict.UNHEALTHY, self.board.clock_ms))
        self.assertEqual({}, self.board.runs)

    def test_runs_are_given_up_only_when_their_lease_has_expired(self):
        self.start()
        while self.board.runs:
            self.poll(PollResult(Verdict.NO_ANSWER))
        self.assertGreater(self.board.now_s, self.until_s + 0.05)

    def test_runs_go_on_while_few_polls_are_answered(self):
        run = self.start()
        listed = (RunningRun(run.name, run.number, 10),)
        answer = PollResult(Verdict.OK, running=listed)
        for number in range(400):
            is_answered = number % 20 == 0
            self.poll(answer if is_answered else PollResult(Verdict.NO_ANSWER))
            self.assertEqual([run], list(self.board.runs.values()))

    def test_a_start_after_an_idle_time_is_retried(self):
        self.board.now_s += 60.0
        self.order()
        (start,) = self.starts()
        lost = CallResult(Verdict.NO_ANSWER)
        agentengine.on_call_result(self.board, start, lost)
        self.assertEqual(2, len(self.starts()))
