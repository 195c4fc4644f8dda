"""Tests of the polls of an agent at its backend server."""

import dataclasses

import testtools

from egretthread.scheduling import agentengine, leaserule, serverpoll
from egretthread.scheduling.agentboard import (
    Run,
    RunPhase,
    ServerRecord,
    StopCall,
    TaskName,
)
from egretthread.scheduling.loadsettings import LoadSettings
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

    # A heartbeat with a wrong clock made the lease longer than it is believed.
    def test_the_clock_in_a_heartbeat_ends_no_lease(self):
        record = dataclasses.replace(self.board.server, started_unix_ms=2)
        self.poll(started_unix_ms=2)
        agentengine.on_heartbeat(self.board, record, 10**9)
        self.assertEqual(0, serverpoll.next_poll(self.board).until_ms)
        self.assertEqual(
            self.board.now_s + leaserule.max_server_lease_s(),
            self.board.server_lease_end_s,
        )
        self.poll(started_unix_ms=2)
        until_ms = serverpoll.next_poll(self.board).until_ms
        self.assertEqual(1000 + leaserule.SERVER_LEASE_S * 1000, until_ms)

    def test_another_incarnation_is_another_server(self):
        self.poll(started_unix_ms=2)
        self.assertEqual("absent", self.board.state)

    def heartbeat(self, server="i-1", started_unix_ms=1, cpu=8000):
        record = ServerRecord(
            server,
            started_unix_ms,
            "match",
            "a",
            (),
            Room(cpu, 64, 0),
            False,
            0.0,
            2,
        )
        agentengine.on_heartbeat(self.board, record, 1000)

    def learn_speed(self, speed):
        self.board.load = LoadSettings(server_speeds=True)
        for number in range(30):
            self.board.now_s += 0.1
            self.board.speed.record(self.board.now_s, f"j{number}", speed)

    def test_a_new_incarnation_has_no_known_speed(self):
        self.learn_speed(0.3)
        self.assertLess(serverpoll.server_speed(self.board), 0.4)
        self.heartbeat("i-2", 2)
        self.assertEqual(1.0, serverpoll.server_speed(self.board))

    def test_the_speed_of_a_server_that_has_shrunk_is_uncertain(self):
        self.learn_speed(1.0)
        before = self.board.speed.uncertainty(self.board.now_s)
        self.heartbeat(cpu=3000)
        after = self.board.speed.uncertainty(self.board.now_s)
        self.assertGreater(after, 2 * before)

    def play_slow_run(self, *polls):
        """Learns a low speed, and polls while one run makes progress.

        Args:
            polls: Time after the last poll, and percent listed.
        """
        self.learn_speed(0.3)
        name = TaskName("slow", 0, 0)
        run = Run(
            "e#1", name, 1, "", Room(1000, 64, 0), 1.0, 0, self.board.now_s, 0.0
        )
        run.number, run.phase = 1, RunPhase.STARTING
        self.board.runs[run.entry, run.attempt] = run
        self.board.runs_by_task[name] = run
        for after_s, percent in polls:
            self.board.now_s += after_s
            self.poll(RunningRun(name, 1, percent))
        return serverpoll.server_speed(self.board)

    # A slow server got tasks as if it were fast, since polls were lost.
    def test_lost_polls_do_not_make_a_slow_server_one_that_stood_still(self):
        speed = self.play_slow_run((0.1, 5), (0.1, 8), (0.6, 25))
        self.assertLess(speed, 0.4)

    def test_a_server_that_stood_still_is_taken_to_be_as_fast_as_before(self):
        speed = self.play_slow_run((0.1, 5), (0.3, 5), (0.3, 5), (0.1, 25))
        self.assertEqual(1.0, speed)

    def test_speeds_are_not_estimated_with_the_setting_off(self):
        self.learn_speed(0.3)
        self.board.load = LoadSettings()
        self.assertEqual(1.0, serverpoll.server_speed(self.board))
