"""Tests that an agent starts each task at most once and under a lease."""

import dataclasses

import testtools

from egretthread import agent, message, outcome
from egretthread.jobkey import JobRef
from egretthread.message import Ballot, Refusal, TaskState
from tests import world

ENTRY = "e1#1"
OTHER = "e2#1"
JOB = JobRef("dublin", "1750000000000-job")
LEASE_S = 3.0


class AgentLeasesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = world.agent_settings("a1", "a", ("e1",))
        self.board = agent.new_board(settings, 1)
        self.pass_time(0.0)
        agent.on_link_open(self.board, ENTRY)
        self.renew()

    def pass_time(self, now_s: float) -> None:
        agent.set_time(self.board, now_s, world.UNIX_START_S + now_s)

    def renew(self, **more) -> None:
        reply = message.HeartbeatReply(
            entry=ENTRY,
            echo_s=self.board.now_s,
            config_offset=1,
            lease_s=LEASE_S,
            withdrawn=False,
            draining=False,
            slots=2,
            retention_s=120.0,
            clock_error_s=0.05,
        )
        agent.on_message(self.board, ENTRY, dataclasses.replace(reply, **more))

    def assign(self, *indices: int, generation: int = 1, attempt: int = 1):
        tasks = tuple(
            message.TaskAssignment(index, attempt, "1", 30.0)
            for index in indices
        )
        ballot = Ballot(generation, ENTRY)
        assign = message.Assign(
            JOB, world.SERVICE, ballot, self.board.node, tasks
        )
        self.board.to_start.clear()
        self.board.outbox.clear()
        agent.on_message(self.board, ENTRY, assign)
        return [call.index for call in self.board.to_start]

    def refusals(self) -> list[Refusal]:
        return [
            task.refusal
            for _, sent in self.board.outbox
            if isinstance(sent, message.Report)
            for task in sent.tasks
        ]

    def test_task_assigned_twice_starts_once(self):
        self.assertEqual([0], self.assign(0))
        self.assertEqual([], self.assign(0))
        self.assertEqual([], self.assign(0, attempt=2))
        self.assertEqual([], self.assign(0, generation=2))

    def test_refused_assignment_stays_refused(self):
        self.assertEqual([0, 1], self.assign(0, 1, 2))
        self.assertEqual([Refusal.BUSY], self.refusals())
        self.board.running = 0
        self.assertEqual([], self.assign(2))
        self.assertEqual([2], self.assign(2, attempt=2))

    def test_lower_ballot_than_sealed_is_refused(self):
        seal = message.Seal(JOB, Ballot(2, OTHER), self.board.node)
        agent.on_message(self.board, OTHER, seal)
        self.assertEqual([], self.assign(0))
        self.assertEqual([Refusal.SEALED], self.refusals())

    def test_late_assign_of_an_old_ballot_does_not_block_the_new_one(self):
        seal = message.Seal(JOB, Ballot(2, OTHER), self.board.node)
        agent.on_message(self.board, OTHER, seal)
        self.assertEqual([], self.assign(0, generation=1))
        self.assertEqual([0], self.assign(0, generation=3))

    def test_late_assign_does_not_block_the_sealed_ballot(self):
        seal = message.Seal(JOB, Ballot(2, ENTRY), self.board.node)
        agent.on_message(self.board, ENTRY, seal)
        self.assertEqual([], self.assign(0, generation=1))
        self.assertEqual([0], self.assign(0, generation=2))

    def test_seal_of_an_expired_job_gets_no_reply(self):
        self.assign(0)
        agent.on_finished(self.board, self.board.to_start[0], outcome.done("1"))
        self.pass_time(200.0)
        agent.on_tick(self.board)
        self.board.outbox.clear()
        seal = message.Seal(JOB, Ballot(2, OTHER), self.board.node)
        agent.on_message(self.board, OTHER, seal)
        self.assertEqual([], self.board.outbox)

    def test_paused_process_starts_nothing_under_a_lapsed_lease(self):
        self.assign(0)
        call = self.board.to_start[0]
        self.pass_time(LEASE_S + 0.1)
        self.assertFalse(agent.may_start(self.board, call))
        self.assertEqual([Refusal.NO_LEASE], self.refusals())
        self.renew()
        self.assertEqual([], self.assign(0))

    def test_withdrawn_or_draining_agent_starts_nothing(self):
        for more in ({"withdrawn": True}, {"draining": True}):
            self.renew(**more)
            self.assertEqual([], self.assign(0))

    def test_older_configuration_is_not_adopted(self):
        self.renew(config_offset=2, withdrawn=True)
        self.renew(config_offset=1, withdrawn=False)
        self.assertEqual([], self.assign(0))

    def test_sealed_agent_reports_what_it_started(self):
        self.assign(0, 1, 2)
        self.board.outbox.clear()
        seal = message.Seal(JOB, Ballot(2, OTHER), self.board.node)
        agent.on_message(self.board, OTHER, seal)
        reply = next(
            sent
            for _, sent in self.board.outbox
            if isinstance(sent, message.SealReply)
        )
        states = {task.index: task.state for task in reply.tasks}
        started = TaskState.STARTED
        self.assertEqual({0: started, 1: started}, states)

    def test_longer_retention_does_not_revive_expired_keys(self):
        self.pass_time(50.0)
        self.renew(config_offset=2, retention_s=40.0)
        self.pass_time(50.1)
        self.renew(config_offset=3, retention_s=120.0)
        self.pass_time(50.2)
        self.assertEqual([], self.assign(0))
        self.assertEqual([Refusal.OUTSIDE_RETENTION], self.refusals())
