"""Tests of what an entry makes of an agent's reports."""

import dataclasses

import testtools

from egretthread import entry, message, witness
from egretthread.message import Refusal, TaskReport, TaskState
from tests import world

SETTLE_S = 5.0 + witness.SETTLE_S


class ReportsTest(testtools.TestCase):
    def test_late_refusal_does_not_free_the_newest_hand_out(self):
        region = world.World(1, faults=False)
        region.run_times_s = (2.0,)
        region.run(SETTLE_S)
        job = region.new_submission("job", 3)
        region.submit("e1", job)
        region.run(0.1)
        board = region.processes["e1"].board
        state = board.jobs[job.job]
        held = dataclasses.replace(state.assignments[0], attempt=2)
        state.assignments[0] = held
        late = TaskReport(0, 1, TaskState.REFUSED, refusal=Refusal.BUSY)
        report = message.Report(
            job.job, state.ballot, held.agent, (late,), free=0, received=0
        )
        entry.on_message(board, held.agent, report)
        self.assertEqual(held, state.assignments[0])
