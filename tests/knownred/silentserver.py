"""A backend server that falls silent for good, with runs at it."""

from egretthread.scheduling import agentengine, serverpoll
from egretthread.scheduling.servercall import CallResult, PollResult, Verdict
from tests.scheduling import test_runorders

POLL_S = 0.08
LIMIT_S = 4.0


class TestSilentServer(test_runorders.AgentCase):
    # Guards against LOST: runs at a server that is silent for good were held.
    def test_runs_at_a_silent_server_are_given_up(self):
        board = self.board
        self.order()
        (start,) = self.starts()
        agentengine.on_call_result(board, start, CallResult(Verdict.OK))
        end_s = board.now_s + LIMIT_S
        while board.now_s < end_s:
            call = serverpoll.next_poll(board)
            board.now_s += POLL_S
            agentengine.on_poll_result(
                board, call, PollResult(Verdict.NO_ANSWER)
            )
            for coordinator in board.coordinators.values():
                coordinator.lease_end_s = board.now_s + 1.0
            agentengine.on_tick(board)
        self.assertEqual({}, board.runs)
