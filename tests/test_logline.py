"""Tests of parsing log lines."""

import io
import logging

import hypothesis
import testtools
from hypothesis import strategies

from egretthread import logline, logs


class TestLogLine(testtools.TestCase):
    def write(self, **fields):
        """Returns a line as written by a process."""
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        stream = io.StringIO()
        try:
            logs.setup("info", "egretthread-entry", stream)
            logs.info("job_answered", **fields)
        finally:
            root.handlers[:] = handlers
            root.setLevel(level)
        return stream.getvalue()

    @hypothesis.given(strategies.text(max_size=30))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_a_written_line_is_parsed(self, value):
        line = logline.parse(self.write(job="j", reason=value))
        self.assertEqual("job_answered", line.event)
        self.assertEqual(value, line.fields["reason"])
        self.assertTrue(line.mentions("j"))

    def test_the_prefix_of_a_line_becomes_its_source(self):
        line = logline.parse(
            "  10.25 entry-1 " + self.write(job="j"), "all.log"
        )
        self.assertEqual("all.log entry-1", line.source)

    def test_other_lines_are_skipped(self):
        texts = ["", "Traceback", "time=yesterday event=x", "time=2026-01-01"]
        self.assertEqual([], list(logline.read("f", texts)))

    def test_a_field_that_is_not_numeric_gives_nan(self):
        line = logline.parse(self.write(took_s="soon"))
        self.assertNotEqual(line.number("took_s"), line.number("took_s"))
