"""Tests of the order in which waiting tasks are dispatched."""

import testtools

from egretthread.scheduling import waitorder
from egretthread.scheduling.entryboard import Job, Task
from egretthread.scheduling.jobspec import JobSpec, Route, StepSpec
from egretthread.scheduling.room import Room


def task(name, priority=1, objective_s=110.0, started=False):
    spec = JobSpec(name, "", (StepSpec(1, Room(1, 1, 0), 1.0),))
    route = Route(name, "h", "/", "s", priority, 1, 1.0, 1.6, 0.06)
    job = Job(spec, route, 100.0, 120.0, objective_s, (1.0,))
    job.may_have_started = started
    return Task(job, 0, 0)


def order(*tasks):
    ranked = sorted(tasks, key=lambda t: waitorder.sort_key(t, 105.0))
    return [t.job.id for t in ranked]


class TestWaitOrder(testtools.TestCase):
    def test_the_priority_of_the_route_decides_first(self):
        tasks = task("long", 2, 106.1), task("short", 0, 120.0)
        self.assertEqual(["short", "long"], order(*tasks))

    def test_within_a_priority_the_least_slack_goes_first(self):
        tasks = task("later", 1, 120.0), task("sooner", 1, 107.0)
        self.assertEqual(["sooner", "later"], order(*tasks))

    def test_a_job_that_misses_its_objective_goes_last(self):
        tasks = task("late", 0, 105.5), task("in-time", 2, 107.0)
        self.assertEqual(["in-time", "late"], order(*tasks))

    def test_a_job_that_has_started_keeps_its_position(self):
        """Otherwise newer jobs overtake it in a burst and its work is lost."""
        tasks = task("started", 1, 105.5, started=True), task("new", 1, 107.0)
        self.assertEqual(["started", "new"], order(*tasks))
