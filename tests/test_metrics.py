"""Tests of the metrics."""

import testtools

from egretthread import gauges, metrics
from egretthread.scheduling import agentgauges, entrygauges

TABLE = (
    *metrics.METRICS,
    metrics.Metric(
        "tasks_total", metrics.COUNTER, "Tasks.", ("service", "outcome")
    ),
    metrics.Metric("lease_losses_total", metrics.COUNTER, "Losses."),
    metrics.Metric("links", metrics.GAUGE, "Links.", ("role",)),
    metrics.Metric("refusals_total", metrics.COUNTER, "No.", ("reason",)),
)


def lines(registry):
    """Returns the rendered samples without the common prefix."""
    body, content_type = registry.render()
    assert content_type.startswith("text/plain")
    return [
        line.removeprefix(metrics.PREFIX)
        for line in body.decode().splitlines()
        if line.startswith(metrics.PREFIX)
    ]


class MetricsTest(testtools.TestCase):
    # Guards against /metrics that answers 500 because of an unknown gauge.
    def test_every_gauge_is_declared(self):
        declared = {metric.name for metric in metrics.METRICS}
        for table in (
            gauges.ENTRY_GAUGES,
            gauges.AGENT_GAUGES,
            entrygauges.GAUGES,
            agentgauges.GAUGES,
        ):
            self.assertEqual(set(), set(table) - declared)

    def test_counters_and_gauges(self):
        registry = metrics.Metrics(TABLE)
        registry.count("tasks_total", "ledger-match", "done")
        registry.count("tasks_total", "ledger-match", "done", amount=4)
        registry.set("open_jobs", 3)
        shown = lines(registry)
        label = 'outcome="done",service="ledger-match"'
        self.assertIn(f"tasks_total{{{label}}} 5", shown)
        self.assertIn("open_jobs 3", shown)

    def test_histograms_are_cumulative(self):
        registry = metrics.Metrics(TABLE)
        for value_s in (0.001, 0.003, 0.003, 500.0):
            registry.observe("claim_seconds", value_s)
        shown = lines(registry)
        for bound, count in ((0.001, 1), (0.002, 1), (0.005, 3), (120.0, 3)):
            line = f'claim_seconds_bucket{{le="{bound}"}} {count}.0'
            self.assertIn(line, shown)
        self.assertIn('claim_seconds_bucket{le="+Inf"} 4.0', shown)
        self.assertIn("claim_seconds_count 4.0", shown)
        self.assertIn("claim_seconds_sum 500.007", shown)

    def test_rendering_twice_does_not_count_twice(self):
        registry = metrics.Metrics(TABLE)
        registry.count("lease_losses_total")
        lines(registry)
        self.assertIn("lease_losses_total 1", lines(registry))

    def test_refreshers_set_gauges_at_each_rendering(self):
        registry = metrics.Metrics(TABLE)
        links = {"agent": 1}

        def refresh(target):
            target.clear("links")
            for role, count in links.items():
                target.set("links", count, role)

        registry.refreshers.append(refresh)
        self.assertIn('links{role="agent"} 1', lines(registry))
        links = {"entry": 2}
        shown = [line for line in lines(registry) if line.startswith("links{")]
        self.assertEqual(['links{role="entry"} 2'], shown)

    def test_label_values_are_escaped(self):
        registry = metrics.Metrics(TABLE)
        registry.count("refusals_total", 'a"b\\c\n')
        self.assertIn(
            'refusals_total{reason="a\\"b\\\\c\\n"} 1', lines(registry)
        )

    def test_process_metrics_are_rendered(self):
        shown = dict(line.split(" ") for line in lines(metrics.Metrics()))
        self.assertTrue(int(shown["resident_bytes"]) > 2**20)

    def test_counters_of_a_blackboard_become_events_and_messages(self):
        registry = metrics.Metrics()
        registry.set_counters({"sent_Assign": 3, "hand_outs": 8})
        shown = lines(registry)
        self.assertIn('messages_sent_total{message="Assign"} 3', shown)
        self.assertIn('events_total{event="hand_outs"} 8', shown)

    def test_wrong_names_and_labels_raise_errors(self):
        registry = metrics.Metrics(TABLE)
        self.assertRaises(KeyError, registry.count, "absent_total")
        registry.count("refusals_total")
        self.assertRaises(ValueError, registry.render)
