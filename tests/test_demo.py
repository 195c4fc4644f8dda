"""Tests of the demo's measurements and of child processes."""

import asyncio
import pathlib
import random
import signal
import tempfile

import testtools

from egretthread_standins import children, cluster, demo
from egretthread_standins.cluster import Start


class MeasureTest(testtools.TestCase):
    def test_ideal_time_is_bounded_by_slots_and_by_the_longest_task(self):
        rng = random.Random(1)
        many = demo.make_job(rng, 480, (0.5, 0.5))
        self.assertAlmostEqual(5.0, demo.ideal_s(many))
        few = demo.make_job(rng, 2, (0.5, 0.5))
        self.assertAlmostEqual(0.5, demo.ideal_s(few))

    def test_doubled_starts_are_seen_across_zones(self):
        starts = [
            Start(1.0, cluster.ZONES[0], "w1", "k", 0),
            Start(1.1, cluster.ZONES[1], "w2", "k", 0),
            Start(1.2, cluster.ZONES[1], "w2", "k", 1),
        ]
        self.assertEqual(1, demo.count_double_starts(starts))


class ChildrenTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.log = pathlib.Path(directory.name, "child.log")

    def test_listening_lines(self):
        self.assertEqual(
            {"http": "127.0.0.1:5", "admin": "127.0.0.1:6"},
            children.parse_addresses(
                "event=listening http=127.0.0.1:5 admin=127.0.0.1:6"
            ),
        )
        self.assertEqual(
            {"http": "127.0.0.1:5"},
            children.parse_addresses("listening 127.0.0.1:5"),
        )
        self.assertEqual({}, children.parse_addresses("event=other"))

    def test_a_child_starts_and_ends(self):
        async def run():
            child = await children.start(
                "log",
                "egretthread_standins.logservice",
                ("--port", "0"),
                self.log,
            )
            return await children.end(child, signal.SIGINT)

        self.assertEqual(0, asyncio.run(run()))

    def test_a_child_of_a_background_job_heeds_interrupts(self):
        # A shell makes background jobs ignore SIGINT, and children inherit
        # that unless it is undone.
        handler = signal.signal(signal.SIGINT, signal.SIG_IGN)
        self.addCleanup(signal.signal, signal.SIGINT, handler)
        self.test_a_child_starts_and_ends()

    def test_a_child_that_does_not_start_is_reported(self):
        start = children.start("x", "egretthread.nosuch", (), self.log)
        self.assertRaises(children.ChildError, asyncio.run, start)
