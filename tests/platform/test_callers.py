"""Tests of decoding the requests of callers."""

import json

import testtools

from egretthread.platform import bodies, callers

STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimated_ms": 900}
ROUTE = type("Route", (), {"timeout_s": 1.5})


def decode(steps=(STEP,), **fields):
    table = {
        "task_spec": "x",
        "steps": list(steps),
        "best_effort": True,
        **fields,
    }
    return callers.decode_job("0" * 16, json.dumps(table).encode())


class TestDecodeJob(testtools.TestCase):
    def test_a_submission_is_decoded(self):
        spec = decode([STEP, {**STEP, "after": [0], "gpu": 1}])
        self.assertEqual(0.9, spec.steps[0].estimated_s)
        self.assertEqual((0,), spec.steps[1].after)
        self.assertEqual(1, spec.steps[1].room.gpu)
        self.assertFalse(spec.kept)

    def test_malformed_jobs_are_errors_that_name_a_remedy(self):
        for steps in (
            [],
            ["step"],
            [{**STEP, "count": 0}],
            [{**STEP, "count": -1}],
            [{**STEP, "cpu": "much"}],
            [{**STEP, "after": [0]}],
            [{**STEP, "after": [True]}],
            [{**STEP, "count": 10_001}],
            [STEP] * 101,
        ):
            with self.assertRaises(bodies.BodyError) as caught:
                decode(steps)
            self.assertTrue(caught.exception.remedy)
        for fields in ({"task_spec": 5}, {"task_spec": "x" * 4001}):
            with self.assertRaises(bodies.BodyError):
                decode(**fields)

    def test_unsupported_features_are_listed(self):
        spec = decode([{**STEP, "gang": True}])
        self.assertEqual(("gang",), spec.steps[0].unsupported)
        self.assertTrue(decode(best_effort=False).kept)


class TestWaitLimit(testtools.TestCase):
    def test_the_header_sets_the_wait_limit(self):
        self.assertEqual(2.5, callers.decode_wait_limit_s("2500", ROUTE))

    def test_without_a_valid_header_the_timeout_of_the_route_applies(self):
        for text in (None, "", "soon", "-5", "inf", "nan", "1e999"):
            self.assertEqual(1.5, callers.decode_wait_limit_s(text, ROUTE))
