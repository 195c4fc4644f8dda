"""Tests of the numbers of the runs of kept jobs' tasks."""

import testtools

from egretthread.scheduling import jobs, runnumbers
from egretthread.scheduling.entryboard import EntryBoard, TaskState
from egretthread.scheduling.jobrecord import Progress
from egretthread.scheduling.jobspec import JobSpec, StepSpec
from egretthread.scheduling.room import Room
from tests.scheduling import region


def new_job(count=2):
    step = StepSpec(count, Room(1000, 64, 0), 1.0)
    spec = JobSpec("k", "payload", (step,), kept=True)
    return jobs.new_job(EntryBoard("e#1", "x", 100.0), spec, region.ROUTE)


def order(task):
    task.run = runnumbers.next_number(task)
    task.attempt += 1
    task.state = TaskState.ORDERED


def stored(job):
    return Progress("running", {}, {}, 0.0, {}, *runnumbers.record(job))


class TestRunNumbers(testtools.TestCase):
    def test_numbers_begin_at_one_and_rise(self):
        (task, _), *_ = new_job().tasks
        order(task)
        self.assertEqual(1, task.run)
        task.state = TaskState.RECORDING
        order(task)
        self.assertEqual(2, task.run)

    def test_a_number_is_used_again_after_a_refusal(self):
        (task, _), *_ = new_job().tasks
        order(task)
        runnumbers.on_refused(task)
        order(task)
        self.assertEqual(1, task.run)

    def test_numbers_after_a_takeover_exceed_the_unrecorded_ones(self):
        first = new_job()
        progress = stored(first)
        order(first.tasks[0][0])
        second = new_job()
        runnumbers.restore(second, progress)
        runnumbers.begin(second, progress)
        order(second.tasks[0][0])
        self.assertEqual(2, second.tasks[0][0].run)

    def test_an_end_counts_until_the_takeover_is_stored(self):
        first = new_job()
        before = stored(first)
        order(first.tasks[0][0])
        second = new_job()
        runnumbers.restore(second, before)
        task = second.tasks[0][0]
        self.assertFalse(runnumbers.is_superseded(task, before, 1))
        runnumbers.begin(second, before)
        self.assertFalse(runnumbers.is_superseded(task, before, 1))
        after = stored(second)
        third = new_job()
        runnumbers.restore(third, after)
        task = third.tasks[0][0]
        self.assertTrue(runnumbers.is_superseded(task, after, 1))
        self.assertFalse(runnumbers.is_superseded(task, after, 2))

    def test_a_recorded_run_is_superseded_for_the_successor(self):
        job = new_job()
        task, other = job.tasks[0]
        for each in (task, other):
            order(each)
        self.assertFalse(runnumbers.is_stored(task, stored(job)))
        task.state = TaskState.RECORDING
        progress = stored(job)
        self.assertTrue(runnumbers.is_stored(task, progress))
        successor = new_job()
        runnumbers.restore(successor, progress)
        task, other = successor.tasks[0]
        self.assertTrue(runnumbers.is_superseded(task, progress, 1))
        self.assertFalse(runnumbers.is_superseded(other, progress, 1))

    def test_the_record_is_bounded(self):
        job = new_job(2 * runnumbers.MAX_LISTED_TASKS)
        tasks = job.tasks[0]
        for task in tasks:
            order(task)
            task.state = TaskState.RECORDING
        order(tasks[0])
        progress = stored(job)
        self.assertEqual({}, progress.superseded)
        self.assertTrue(runnumbers.is_stored(tasks[1], progress))
        order(tasks[1])
        self.assertGreater(tasks[1].run, progress.superseded_all)
