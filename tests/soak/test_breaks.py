"""Tests of how a broken rule is told."""

import unittest
import zlib

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite.site import Event
from egretthread_standins.soak import breaks, runrules
from tests.soak import history as h


class ExplainTest(unittest.TestCase):
    def test_a_break_names_its_job_and_what_was_done_before(self):
        part = zlib.crc32(h.JOB.encode()) % sites.PARTS
        events = [
            h.post(1.0, entry="entry-2"),
            h.start(20.0),
            *h.disturbance(10.0, 10.5, "agent-3"),
            *h.disturbance(18.0, 19.0, "entry-3", number=2),
            Event(5.0, "store", "append out of order", {"part": part}),
            Event(5.0, "store", "append out of order", {"part": part + 1}),
            h.start(20.1, 2),
            h.start(20.1, 2, task="00000000000000b2.0.0.0"),
        ]
        (broken,) = runrules.overlaps(events)
        lines = breaks.explain(broken, events)
        text = "\n".join(lines)
        for name in ("TWICE at 20.100", h.TASK, "agent-1", "agent-2"):
            self.assertIn(name, lines[0])
        for name in ("entry-2", "entry-3"):
            self.assertIn(name, text)
        self.assertEqual(1, text.count("append out of order"))
        self.assertNotIn("agent-3", text)
        self.assertNotIn("b2.0.0.0", text)
