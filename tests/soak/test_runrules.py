"""Each rule on runs is broken on purpose, and kept by what it allows."""

import unittest

from egretthread_standins.soak import oracle, runrules
from tests.soak import history as h


class TwiceTest(unittest.TestCase):
    def test_two_runs_at_the_same_time_are_found(self):
        events = [h.start(1.0), h.start(1.1, 2), h.end(1.2), h.end(1.3, 2)]
        (broken,) = runrules.overlaps(events)
        self.assertEqual(("TWICE", 1.1, h.JOB), _key(broken))
        for part in (h.TASK, "agent-1", "agent-2"):
            self.assertIn(part, broken.text)

    def test_two_lives_of_one_server_are_two_servers(self):
        events = [h.start(1.0), h.start(1.1, born=8)]
        self.assertEqual(1, len(runrules.overlaps(events)))

    def test_one_run_after_the_other_is_allowed(self):
        for over in (h.end(1.1, how="stopped"), h.crash(1.1)):
            events = [h.start(1.0), over, h.start(1.2, 2)]
            self.assertEqual([], runrules.overlaps(events))

    def test_a_start_after_a_noted_end_is_found(self):
        events = [h.post(0.5), h.start(1.0), h.end(1.1), h.start(2.0, 2)]
        for noted_s in (1.5, 3.0):
            played = [*events, h.noted(noted_s)]
            (broken,) = runrules.starts_after_end(played)
            self.assertEqual(("TWICE", 2.0, h.JOB), _key(broken))

    def test_an_end_that_lapsed_or_was_never_noted_allows_a_start(self):
        events = [h.post(0.5), h.start(1.0), h.end(1.1), h.start(2.0, 2)]
        self.assertEqual([], runrules.starts_after_end(events))
        events.append(h.noted(3.0, lapsed=True))
        self.assertEqual([], runrules.starts_after_end(events))

    def test_a_best_effort_job_may_run_again_after_an_end(self):
        events = [h.post(0.5, kept=False), h.start(1.0), h.end(1.1)]
        events += [h.noted(1.2), h.start(2.0, 2)]
        self.assertEqual([], runrules.starts_after_end(events))

    def test_a_start_after_completion_was_shown_is_found(self):
        events = [h.post(0.5), h.get(1.0, "completed"), h.start(2.1)]
        (broken,) = runrules.starts_after_completion(events)
        self.assertEqual(("TWICE", 2.1, h.JOB), _key(broken))

    def test_late_orders_and_frozen_agents_may_start_after_completion(self):
        shown = [h.post(0.5), h.get(1.0, "completed")]
        late = [*shown, h.start(2.1, late=True)]
        self.assertEqual([], runrules.starts_after_completion(late))
        frozen = [*shown, *h.disturbance(1.0, 2.0, "agent-1"), h.start(2.1)]
        self.assertEqual([], runrules.starts_after_completion(frozen))


class OrderTest(unittest.TestCase):
    steps = ((2, ()), (1, (0,)))

    def test_a_start_before_its_predecessors_is_found(self):
        events = [h.post(0.5, steps=self.steps), h.end(1.0)]
        events.append(h.start(2.0, task=f"{h.JOB}.0.1.0"))
        (broken,) = runrules.early_starts(events)
        self.assertEqual(("ORDER", 2.0, h.JOB), _key(broken))
        self.assertIn(f"{h.JOB}.0.0.1", broken.text)

    def test_only_ends_that_are_done_count(self):
        events = [h.post(0.5, steps=self.steps), h.end(1.0)]
        events.append(h.end(1.1, task=f"{h.JOB}.0.0.1", how="stopped"))
        events.append(h.start(2.0, task=f"{h.JOB}.0.1.0"))
        self.assertEqual(1, len(runrules.early_starts(events)))

    def test_a_start_after_its_predecessors_is_allowed(self):
        events = [h.post(0.5, steps=self.steps), h.end(1.0)]
        events.append(h.end(1.1, task=f"{h.JOB}.0.0.1"))
        events.append(h.start(2.0, task=f"{h.JOB}.0.1.0"))
        self.assertEqual([], runrules.early_starts(events))


class UnaskedTest(unittest.TestCase):
    def test_a_job_that_nobody_submitted_is_found(self):
        (broken,) = runrules.unasked_starts([h.start(1.0)])
        self.assertEqual(("UNASKED", 1.0, h.JOB), _key(broken))

    def test_another_task_spec_is_found(self):
        events = [h.post(0.5), h.start(1.0, spec="match another")]
        self.assertEqual(1, len(runrules.unasked_starts(events)))

    def test_a_start_long_after_a_cancellation_is_found(self):
        for status in (200, 410):
            events = [h.post(0.5), h.delete(1.0, status), h.start(4.1)]
            (broken,) = runrules.unasked_starts(events)
            self.assertEqual(("UNASKED", 4.1, h.JOB), _key(broken))

    def test_starts_in_time_or_without_acknowledgement_are_allowed(self):
        events = [h.post(0.5), h.delete(1.0), h.start(3.9)]
        self.assertEqual([], runrules.unasked_starts(events))
        events = [h.post(0.5), h.delete(1.0, 503), h.start(4.1)]
        self.assertEqual([], runrules.unasked_starts(events))

    def test_a_late_order_may_start_a_cancelled_job(self):
        events = [h.post(0.5), h.delete(1.0), h.start(4.1, late=True)]
        self.assertEqual([], runrules.unasked_starts(events))


class RefusedTest(unittest.TestCase):
    def test_a_start_of_a_rejected_job_is_found(self):
        events = [h.post(0.5, 503), h.post(0.6, 429), h.start(1.0)]
        (broken,) = runrules.rejected_starts(events)
        self.assertEqual(("REFUSED", 1.0, h.JOB), _key(broken))

    def test_a_submission_without_an_answer_may_run(self):
        events = [h.post(0.5, 0), h.post(0.6, 503), h.start(1.0)]
        self.assertEqual([], runrules.rejected_starts(events))


class DrainTest(unittest.TestCase):
    def test_a_start_long_after_draining_was_acknowledged_is_found(self):
        (broken,) = runrules.starts_while_draining(
            [h.draining(1.0), h.start(3.1)]
        )
        self.assertEqual(("DRAIN", 3.1, h.JOB), _key(broken))

    def test_starts_in_time_and_of_another_life_are_allowed(self):
        for start in (h.start(2.9), h.start(3.1, born=8), h.start(3.1, 2)):
            events = [h.draining(1.0), start]
            self.assertEqual([], runrules.starts_while_draining(events))


class JudgeTest(unittest.TestCase):
    def test_a_sound_run_breaks_nothing(self):
        events = [h.post(0.5), h.start(1.0), h.end(1.1), h.noted(1.2)]
        events += [h.get(1.5, "completed"), h.finish(20.0)]
        self.assertEqual([], oracle.judge(events))

    def test_events_are_judged_in_the_order_of_their_times(self):
        events = [h.post(0.5), h.start(1.0), h.start(1.2, 2), h.end(1.1)]
        events += [h.end(1.3, 2), h.get(1.5, "completed")]
        self.assertEqual([], oracle.judge(events))


def _key(broken):
    return broken.rule, broken.at_s, broken.job
