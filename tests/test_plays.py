"""Tests of the plays of days in pairs."""

import json
import math
import pathlib
import stat
import tempfile

import testtools

from egretthread_bench import plays
from egretthread_bench.plays import Figures, Pair, Play

# Stands for the operators' bench: writes the report of every day but `lost`.
BENCH = """#!/bin/sh
test "$3" = lost || echo '%s' > "${9}"
"""


def report(**changes):
    counts = {"n": 100, "late": 3, "refused": 2, "failed": 1}
    return json.dumps(
        {"G": 0.7, "all": counts, "fault": None, "breaks": {}} | changes
    )


def pair(name, old, new):
    return Pair(name, Figures(old, 100, 0, 0, 0), Figures(new, 100, 0, 0, 0))


class PlaysTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, text):
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return path

    def test_a_report_is_read(self):
        path = self.write("a.json", report())
        self.assertEqual(Figures(0.7, 100, 3, 2, 1), plays.read_figures(path))

    def test_broken_rules_and_faults_are_problems(self):
        broken = self.write("a.json", report(breaks={"TWICE": 1}))
        faulty = self.write("b.json", report(fault="took too long"))
        self.assertEqual("TWICE", plays.read_figures(broken).problem)
        self.assertEqual("took too long", plays.read_figures(faulty).problem)

    def test_a_file_that_is_no_report_is_an_error(self):
        path = self.write("a.json", "{}")
        self.assertRaises(plays.PlayError, plays.read_figures, path)

    def test_only_plays_of_both_versions_are_paired(self):
        for name in ("old/a.json", "old/b.json", "new/b.json", "new/c.json"):
            self.write(name, report())
        pairs = plays.pair_up(self.folder / "old", self.folder / "new")
        self.assertEqual(["b"], [each.name for each in pairs])

    def test_versions_without_a_common_play_are_an_error(self):
        self.write("old/a.json", report())
        self.assertRaises(
            plays.PlayError,
            plays.pair_up,
            self.folder / "old",
            self.folder / "new",
        )

    def test_the_mean_gain_has_a_standard_error(self):
        pairs = [pair("a", 0.6, 0.7), pair("b", 0.6, 0.6), pair("c", 0.5, 0.7)]
        mean, error = plays.mean_gain(pairs)
        self.assertAlmostEqual(0.1, mean)
        self.assertAlmostEqual(0.1 / math.sqrt(3), error)

    def test_a_single_pair_has_no_standard_error(self):
        self.assertEqual(math.inf, plays.mean_gain([pair("a", 0.6, 0.7)])[1])

    def test_the_table_has_a_mean_for_each_site(self):
        text = plays.table(
            [pair("s.a.1", 0.6, 0.7), pair("s.a.2", 0.6, 0.7)]
            + [pair("t.a.1", 0.6, 0.5)]
        )
        self.assertIn("| s, mean of 2 | 0.600 | 0.700 | +0.1000", text)
        self.assertIn("| t, mean of 1 | 0.600 | 0.500 | -0.1000", text)

    def test_days_are_played_and_missing_reports_returned(self):
        bench = self.write("bench", BENCH % report())
        bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
        days = [
            Play(pathlib.Path("office.toml"), "calm", 1),
            Play(pathlib.Path("office.toml"), "lost", 1),
        ]
        missing = plays.play_all(
            bench, self.folder, days, self.folder / "out", ("--no-cpu",), 2
        )
        self.assertEqual(days[1:], missing)
        path = self.folder / "out" / "office.calm.1.json"
        self.assertEqual(0.7, plays.read_figures(path).worth)
