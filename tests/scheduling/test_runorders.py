"""Tests of the agent's orders to its backend server."""

import testtools

from egretthread.scheduling import agentengine, runorders
from egretthread.scheduling.agentboard import StopCall, TaskName
from egretthread.scheduling.servercall import CallResult, Verdict


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
