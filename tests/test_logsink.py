"""Tests of the log stream with slow and closed readers."""

import os
import time

import testtools

from egretthread import logsink

LINE = "time=x level=INFO event=something_happened key=value\n"
WARNING = "time=x level=WARNING event=something_bad key=value\n"


class TestLogSink(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.sink = logsink.LogSink(writer)

    def read(self):
        os.set_blocking(self.reader, False)
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 1 << 20))
            except BlockingIOError:
                return b"".join(parts).decode()

    def test_lines_arrive_in_order(self):
        self.sink.write("a\n")
        self.sink.write("b\n")
        self.assertEqual("a\nb\n", self.read())

    def test_a_stopped_reader_does_not_block_and_the_buffer_is_bounded(self):
        started_s = time.monotonic()
        for _ in range(50_000):
            self.sink.write(LINE)
        self.assertLess(time.monotonic() - started_s, 5.0)
        self.assertLessEqual(len(self.sink.backlog), logsink.MAX_BACKLOG_BYTES)
        self.assertGreater(self.sink.dropped, 0)

    def test_warnings_are_accepted_when_other_lines_are_dropped(self):
        for _ in range(50_000):
            self.sink.write(LINE)
        self.sink.write(WARNING)
        self.assertIn(b"something_bad", bytes(self.sink.backlog))

    def test_the_number_of_dropped_lines_is_logged(self):
        for _ in range(50_000):
            self.sink.write(LINE)
        while self.sink.backlog:
            self.read()
            self.sink.flush()
        self.read()
        self.sink.write(LINE)
        self.assertTrue(
            self.read().startswith("level=WARNING event=lines_dropped lines=")
        )

    def test_a_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        sink = logsink.LogSink(writer)
        sink.write(LINE)
        os.close(writer)
        self.assertEqual(b"", bytes(sink.backlog))
