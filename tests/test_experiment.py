"""Tests of loading experiments."""

import pathlib
import tempfile

import testtools

from egretthread_bench import experiment


class ExperimentTest(testtools.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bench.toml"
            path.write_text(text)
            return experiment.load_experiments(path)

    def test_reads_rules_and_tenants(self):
        text = (
            "[rules.a]\ncredit = {lookahead = 2}\n[[experiments]]\nname = 'x'\n"
            "loads = [0.5]\ntenants = [{name = 'dublin', flood = 2.0}]\n"
        )
        loaded = self.read(text)[0]
        self.assertEqual(2, dict(loaded.rules)["a"].credit.lookahead)
        self.assertEqual(2.0, loaded.tenants[0].flood)

    def test_unknown_keys_are_refused(self):
        text = "[rules.a.credit]\nlook_ahead = 2\n"
        error = self.assertRaises(experiment.ExperimentError, self.read, text)
        self.assertIn("lookahead", error.remedy)
