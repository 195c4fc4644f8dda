"""Tests of the policy benchmark with a few jobs."""

import pathlib
import tempfile

import testtools

from egretthread_bench import experiment, policy, report

SMALL = experiment.Experiment("small", agents=3, jobs=60, max_tasks=12)


class PolicyTest(testtools.TestCase):
    def test_every_rule_finishes_every_job(self):
        experiments = experiment.load_experiments(
            pathlib.Path(__file__).parent.parent / "experiments/policy.toml"
        )
        rules = {name: rule for e in experiments for name, rule in e.rules}
        for name, rule in rules.items():
            result = policy.measure(SMALL, name, rule, 0.9)
            self.assertTrue(result.jobs > 40, name)
            self.assertTrue(result.p50 >= 0.99, name)

    def test_runs_repeat_exactly(self):
        rule = experiment.Rule()
        runs = [policy.measure(SMALL, "late", rule, 0.7) for _ in range(2)]
        self.assertEqual(runs[0].messages, runs[1].messages)
        self.assertEqual(runs[0].p99, runs[1].p99)


class ReportTest(testtools.TestCase):
    def test_results_are_read_from_json_and_compared(self):
        results = [policy.bound(SMALL, 0.7)]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "policy.json"
            report.write_json(results, path)
            read = report.read_json(path)
        self.assertEqual(results, read)
        self.assertIn("+0.0%", report.comparison(results, read))
        self.assertIn("## small", report.markdown(results))
