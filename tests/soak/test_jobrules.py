"""Each rule on jobs is broken on purpose, and kept by what it allows."""

import unittest

from egretthread_standins.platformsite import site
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


class PendingTest(unittest.TestCase):
    accepted = [h.post(1.0, job=f"{n:016x}") for n in range(4)]

    def answer(self, sent, pending, *others):
        asked = h.queue(sent, site.PREFIX, 200, pending=pending)
        events = [*self.accepted, *others, asked]
        return jobrules.hidden_jobs(sorted(events, key=lambda e: e.at_s))

    def test_under_half_of_the_jobs_that_wait_is_found(self):
        (broken,) = self.answer(6.1, 1)
        self.assertEqual("MIXED", broken.rule)
        self.assertIn("entry-1", broken.text)

    def test_half_of_the_jobs_and_new_jobs_are_allowed(self):
        self.assertEqual([], self.answer(6.1, 2))
        self.assertEqual([], self.answer(5.9, 0))

    def test_jobs_that_have_begun_do_not_wait(self):
        begun = [h.start(2.0, task=f"{n:016x}.0.0.0") for n in range(2)]
        self.assertEqual([], self.answer(6.1, 1, *begun))

    def test_an_entry_out_of_touch_may_not_know(self):
        disturbed = h.disturbance(4.0, 4.5, "entry-1")
        self.assertEqual([], self.answer(6.1, 0, *disturbed))


class FaultTest(unittest.TestCase):
    def test_a_process_that_ended_by_itself_is_found(self):
        event = Event(3.0, "operator", "ended by itself", {"name": "agent-1"})
        (broken,) = jobrules.ended_processes([event])
        self.assertEqual(("FAULT", 3.0, ""), _key(broken))


def _key(broken):
    return broken.rule, broken.at_s, broken.job
