"""Tests of the polls of an agent at its backend server."""

import testtools

from egretthread.scheduling import agentengine, serverpoll
from egretthread.scheduling.agentboard import ServerRecord, StopCall, TaskName
from egretthread.scheduling.room import Room
from egretthread.scheduling.servercall import PollResult, RunningRun, Verdict


class TestPolls(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.board = agentengine.new_board("a#2", 5, 100.0)
        record = ServerRecord(
            "i-1", 1, "match", "a", (), Room(8000, 64, 0), False, 0.0, 1
        )
        agentengine.on_heartbeat(self.board, record, 1000)

    def poll(self, *running, started_unix_ms=1):
        call = serverpoll.next_poll(self.board)
        result = PollResult(Verdict.OK, 1000, started_unix_ms, running, ())
        agentengine.on_poll_result(self.board, call, result)

    def test_runs_that_an_earlier_agent_started_are_stopped(self):
        """No coordinator's lease covers them, and their tasks run again."""
        name = TaskName("j", 0, 1)
        self.poll(RunningRun(name, 4, 50))
        (stop,) = self.board.calls
        self.assertIsInstance(stop, StopCall)
        self.assertEqual(
            (name, 4, "i-1"), (stop.name, stop.number, stop.server)
        )

    def test_another_incarnation_is_another_server(self):
        self.poll(started_unix_ms=2)
        self.assertEqual("absent", self.board.state)
