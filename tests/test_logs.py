"""Tests of writing log lines."""

import io
import logging

import testtools

from egretthread import logs


class LogsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(root.handlers.extend, tuple(root.handlers))
        self.addCleanup(root.handlers.clear)
        self.stream = io.StringIO()
        logs.setup("info", "entry-1", self.stream)

    def fields(self):
        """Returns the single line that was written, without its time."""
        (line,) = self.stream.getvalue().splitlines()
        time, _, rest = line.partition(" ")
        self.assertTrue(time.startswith("time=2"))
        return rest

    def test_an_event_is_one_line_of_key_value_pairs(self):
        logs.info("link_closed", peer="agent-1#5", reason="silent", after_s=3.0)
        self.assertEqual(
            "level=INFO event=link_closed process=entry-1 peer=agent-1#5"
            " reason=silent after_s=3",
            self.fields(),
        )

    def test_values_are_quoted_where_needed(self):
        logs.warning("x", a="two words", b='q"=', c="", d="l1\nl2", e=True)
        self.assertEqual(
            'level=WARNING event=x process=entry-1 a="two words" b="q\\"="'
            ' c="" d="l1\\nl2" e=true',
            self.fields(),
        )

    def test_names_reserved_by_logging_get_an_underscore(self):
        logs.error("x", name="n", args=1, message="m", process="p")
        self.assertEqual(
            "level=ERROR event=x process=entry-1 name_=n args_=1 message_=m"
            " process_=p",
            self.fields(),
        )

    def test_exceptions_stay_on_one_line(self):
        try:
            raise ValueError("100% of it")
        except ValueError:
            logs.exception("failed")
        self.assertIn("ValueError: 100% of it", self.fields())

    def test_lower_levels_are_not_logged(self):
        logs.debug("x")
        self.assertEqual("", self.stream.getvalue())

    def test_records_of_libraries_become_lines(self):
        logging.getLogger("tornado.access").warning("%d GET /%s", 500, "x")
        self.assertEqual(
            'level=WARNING event="500 GET /x" process=entry-1', self.fields()
        )
