"""Tests of an agent whose job is taken over by another coordinator."""

import testtools

from egretthread import agent, message, outcome, settings
from egretthread.controllers import agent_tasks
from egretthread.jobkey import JobRef
from egretthread.message import Ballot, Refusal, TaskState

SETTINGS = settings.AgentSettings(
    name="agent-1",
    region="eire-east",
    zone="eire-east-a",
    service="ledger-match",
    admin_address="127.0.0.1:0",
    backend_url="http://127.0.0.1:1",
    entries=("127.0.0.1:1",),
    shared_key="sixteen characters",
    processors=32,
    memory_bytes=2**37,
)
FIRST = Ballot(1, "entry-1#1")
SECOND = Ballot(2, "entry-2#1")
JOB = JobRef("dublin", "1796337912517-a")


class AgentTasksTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.board = agent.new_board(SETTINGS, 1)
        agent.set_time(self.board, 1.0, JOB.issued_s)
        for node in (FIRST.coordinator, SECOND.coordinator):
            agent.on_link_open(self.board, node)
            reply = message.HeartbeatReply(
                entry=node,
                echo_s=1.0,
                config_offset=0,
                lease_s=3.0,
                withdrawn=False,
                draining=False,
                slots=8,
                retention_s=300.0,
                clock_error_s=0.05,
            )
            agent.on_message(self.board, node, reply)
        self.board.outbox.clear()

    def assign(self, ballot, *indices):
        tasks = tuple(
            message.TaskAssignment(index, 1, "{}", 1.0) for index in indices
        )
        assign = message.Assign(
            JOB, SETTINGS.service, ballot, self.board.node, tasks
        )
        agent.on_message(self.board, ballot.coordinator, assign)

    def seal(self, ballot):
        seal = message.Seal(JOB, ballot, self.board.node)
        agent.on_message(self.board, ballot.coordinator, seal)

    def reports(self, node):
        """Returns the reports sent to a node since the last call."""
        reports = [
            sent
            for receiver, sent in self.board.outbox
            if receiver == node and isinstance(sent, message.Report)
        ]
        self.board.outbox.clear()
        return reports

    def test_late_assign_of_a_superseded_coordinator_blocks_no_task(self):
        self.seal(SECOND)
        self.assign(FIRST, 0)
        (report,) = self.reports(FIRST.coordinator)
        self.assertEqual(Refusal.SEALED, report.tasks[0].refusal)
        self.assertEqual([], self.board.to_start)
        self.assign(SECOND, 0)
        self.assertEqual([0], [call.index for call in self.board.to_start])

    def test_superseded_coordinator_is_notified(self):
        self.assign(FIRST, 0)
        self.seal(SECOND)
        (report,) = self.reports(FIRST.coordinator)
        self.assertEqual((SECOND, ()), (report.ballot, report.tasks))

    def test_refusal_of_the_last_task_reports_the_finished_ones(self):
        self.assign(FIRST, 0, 1)
        first, second = self.board.to_start
        agent.on_finished(self.board, first, outcome.done("{}"))
        self.assertEqual([], self.reports(FIRST.coordinator))
        agent_tasks.cancel_start(
            self.board, second, Refusal.BACKEND_UNREACHABLE
        )
        (report,) = self.reports(FIRST.coordinator)
        self.assertEqual(
            [(1, TaskState.REFUSED), (0, TaskState.FINISHED)],
            [(task.index, task.state) for task in report.tasks],
        )

    def test_seal_of_an_entry_without_a_link_makes_the_agent_dial_all(self):
        third = Ballot(3, "entry-3#1")
        seal = message.Seal(JOB, third, self.board.node)
        agent.on_message(self.board, SECOND.coordinator, seal)
        self.assertTrue(self.board.dial_all_until_s > self.board.now_s)
        self.assign(SECOND, 0)
        (report,) = self.reports(SECOND.coordinator)
        self.assertEqual(Refusal.SEALED, report.tasks[0].refusal)

    def test_seal_of_a_linked_entry_dials_no_others(self):
        self.seal(SECOND)
        self.assertTrue(self.board.dial_all_until_s < self.board.now_s)
