"""Tests of the counts of requests that were not served in time."""

import testtools

from egretthread import logline, losses


def line(event, at_s, job="", source="entry", **fields):
    fields = {"job": job} | {k: str(v) for k, v in fields.items()}
    return logline.LogLine(source, at_s, event, fields)


def answered(job, at_s, outcome="completed", **fields):
    fields = {
        "outcome": outcome,
        "reason": "",
        "took_s": 0.5,
        "objective_left_s": 0.1,
        "expected_s": 0.4,
        "handed_s": 0.01,
        "tasks": 2,
        "runs": 2,
        "route": "r",
    } | fields
    return line("job_answered", at_s, job, **fields)


def refused(job, at_s, reason="overload"):
    return line("job_refused", at_s, job, reason=reason, route="r")


class LossesTest(testtools.TestCase):
    def test_requests_served_in_time_or_left_by_their_caller_are_none(self):
        found = losses.find(
            [answered("a", 10.0), answered("b", 11.0, "cancelled")]
        )
        self.assertEqual((2, ()), (found.answered, found.losses))

    def test_each_loss_has_one_cause(self):
        lines = [
            refused("a", 10.0),
            line("run_slow", 11.4, "b", stalled="true"),
            answered("b", 11.5, objective_left_s=-0.5),
            answered("c", 12.0, objective_left_s=-0.5, handed_s=0.45),
            answered("d", 12.0, objective_left_s=-0.5, handed_s=0.45),
        ]
        found = losses.find(lines)
        self.assertEqual(
            [
                (("late", "waited for capacity"), {"r": 2}),
                (("refused", "overload"), {"r": 1}),
                (("late", "stalled run"), {"r": 1}),
            ],
            [
                (cause, dict(routes))
                for cause, routes in found.by_cause().items()
            ],
        )

    def test_a_loss_counts_at_the_time_of_its_receipt(self):
        lines = [
            refused("a", 10.1),
            answered("b", 12.2, objective_left_s=-0.1, took_s=2.0),
        ]
        times = losses.find(lines).by_time(10.0, 2.0)
        self.assertEqual([0.0], list(times))
        self.assertEqual(2, times[0.0].total())

    def test_only_the_last_answer_of_a_request_counts(self):
        found = losses.find([refused("a", 10.0), answered("a", 12.0)])
        self.assertEqual((1, ()), (found.answered, found.losses))

    def test_a_loss_without_a_line_that_explains_it_is_counted(self):
        found = losses.find([answered("a", 10.0, "failed", reason="?")])
        self.assertEqual(
            [("failed", losses.UNKNOWN_CAUSE)], list(found.by_cause())
        )
