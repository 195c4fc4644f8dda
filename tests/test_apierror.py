"""Tests of the typed errors of error responses."""

import testtools

from egretthread import apierror


class TestFromBody(testtools.TestCase):
    def test_a_body_of_any_shape_gives_an_error(self):
        for body in (
            None,
            [],
            {"kind": ["quota"]},
            {"kind": {"a": 1}},
            {"kind": 3},
            {"kind": "overloaded", "faults": 7},
            {"kind": "overloaded", "faults": None},
            {"message": {}, "remedy": [], "retry_after_s": "soon"},
        ):
            error = apierror.from_body(503, body)
            self.assertIsInstance(error, apierror.ApiError)
            self.assertEqual(503, error.status)

    def test_a_kind_that_is_no_text_counts_as_absent(self):
        error = apierror.from_body(503, {"kind": ["overloaded"]})
        self.assertIsInstance(error, apierror.UnavailableError)
