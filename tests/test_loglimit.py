"""Tests of the rate limit on log lines."""

import logging

import testtools

from egretthread import loglimit


class TestLineLimit(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 50.0
        self.limit = loglimit.LineLimit(lambda: self.now_s)

    def log(self, event, **fields):
        record = logging.makeLogRecord({"msg": event, **fields})
        return record if self.limit.filter(record) else None

    def count(self, event, lines, **fields):
        return sum(self.log(event, **fields) is not None for _ in range(lines))

    def test_a_flood_is_limited_and_counted(self):
        """One event is logged 10,000 times per second for ten seconds."""
        logged = 0
        for _ in range(100):
            logged += self.count("job_refused", 1000)
            self.now_s += 0.1
        bound = loglimit.BURST_LINES + 10 * loglimit.LINES_PER_S
        self.assertLessEqual(logged, bound)
        self.assertGreater(logged, 0.9 * bound)
        self.count("job_refused", 1000)
        self.now_s += 1.0
        record = self.log("job_refused")
        self.assertGreater(record.left_out, 90)

    def test_other_events_are_not_limited(self):
        self.count("job_refused", 5000)
        self.assertEqual(1, self.count("store_lost", 1))

    def test_failures_are_not_displaced_by_successes(self):
        self.count("job_answered", 5000, outcome="completed")
        self.assertEqual(10, self.count("job_answered", 10, outcome="failed"))

    def test_a_line_has_no_left_out_field_if_none_was_suppressed(self):
        self.assertFalse(hasattr(self.log("started"), "left_out"))
