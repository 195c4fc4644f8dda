"""Each rule on jobs is broken on purpose, and kept by what it allows."""

import unittest

from egretthread_standins.platformsite.site import Event
from egretthread_standins.soak import jobrules
from tests.soak import history as h


class LostTest(unittest.TestCase):
    def test_an_accepted_job_that_is_unknown_is_found(self):
        events = [h.post(1.0), h.get(5.0, status=410)]
        (broken,) = jobrules.disowned_jobs(events)
        self.assertEqual(("LOST", 5.0, h.JOB), _key(broken))

    def test_entries_that_are_not_in_touch_may_not_know_a_job(self):
        events = [h.post(1.0), *h.disturbance(1.5, 2.5, "entry-1")]
        events.append(h.get(5.0, status=410))
        self.assertEqual([], jobrules.disowned_jobs(events))
        events = [h.post(1.0), h.get(4.0, status=410)]
        self.assertEqual([], jobrules.disowned_jobs(events))

    def test_an_end_without_a_cause_is_found(self):
        for state in ("failed", "cancelled"):
            events = [h.post(1.0), h.get(2.0, state)]
            self.assertEqual(1, len(jobrules.disowned_jobs(events)), state)

    def test_causes_are_known(self):
        crashes = [h.post(1.0), h.crash(1.1), h.crash(1.5, 2)]
        crashes.append(h.get(2.0, "failed"))
        self.assertEqual([], jobrules.disowned_jobs(crashes))
        cancelled = [h.post(1.0), h.cancels(1.5), h.get(2.0, "cancelled")]
        self.assertEqual([], jobrules.disowned_jobs(cancelled))
        gone = [h.post(1.0), h.cancels(1.5), h.get(6.0, status=410)]
        self.assertEqual([], jobrules.disowned_jobs(gone))

    def test_a_job_that_is_open_at_the_end_is_found(self):
        for answers in ([], [h.get(19.0)], [h.get(19.0, status=503)]):
            events = [h.post(1.0), *answers, h.finish(20.0)]
            (broken,) = jobrules.unfinished_jobs(events)
            self.assertEqual(("LOST", 20.0, h.JOB), _key(broken))

    def test_a_job_that_ended_runs_or_was_cancelled_is_not_lost(self):
        for what in (h.get(19.0, "completed"), h.start(18.0), h.cancels(2.0)):
            events = [h.post(1.0), what, h.finish(20.0)]
            self.assertEqual([], jobrules.unfinished_jobs(events))


class MixedTest(unittest.TestCase):
    def test_completion_before_all_tasks_are_done_is_found(self):
        steps = ((2, ()),)
        for shown in (
            [h.post(0.5, steps=steps), h.end(1.0), h.get(2.0, "completed")],
            [h.end(1.0), h.post(2.0, 200, False, "completed", steps)],
        ):
            (broken,) = jobrules.untrue_states(shown)
            self.assertEqual(("MIXED", 2.0, h.JOB), _key(broken))
            self.assertIn(f"{h.JOB}.0.0.1", broken.text)

    def test_a_job_that_nobody_submitted_is_found(self):
        (broken,) = jobrules.untrue_states([h.get(2.0)])
        self.assertEqual(("MIXED", 2.0, h.JOB), _key(broken))

    def test_true_states_are_allowed(self):
        events = [h.post(0.5), h.get(0.8), h.end(1.0), h.get(2.0, "completed")]
        self.assertEqual([], jobrules.untrue_states(events))


class FaultTest(unittest.TestCase):
    def test_a_process_that_ended_by_itself_is_found(self):
        event = Event(3.0, "operator", "ended by itself", {"name": "agent-1"})
        (broken,) = jobrules.ended_processes([event])
        self.assertEqual(("FAULT", 3.0, ""), _key(broken))


def _key(broken):
    return broken.rule, broken.at_s, broken.job
