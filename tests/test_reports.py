"""Tests of how an entry handles an agent's reports."""

import dataclasses

import testtools

from egretthread import entry, message, witness
from egretthread.message import Refusal, TaskReport, TaskState
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S


class ReportsTest(testtools.TestCase):
    def test_late_refusal_does_not_end_a_newer_assignment(self):
        region = world.World(1, faults=False)
        region.run_times_s = (2.0,)
        region.run(SETTLE_S)
        job = region.new_submission("job", 3)
        region.submit("e1", job)
        region.run(0.1)
        board = region.processes["e1"].board
        state = board.jobs[job.job]
        newer = dataclasses.replace(state.assignments[0], attempt=2)
        state.assignments[0] = newer
        late = TaskReport(0, 1, TaskState.REFUSED, refusal=Refusal.BUSY)
        report = message.Report(
            job.job, state.ballot, newer.agent, (late,), free=0, received=0
        )
        entry.on_message(board, newer.agent, report)
        self.assertEqual(newer, state.assignments[0])
