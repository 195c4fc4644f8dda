"""Metrics of a process, exported by aioprometheus.

Updates on the hot path only change plain dictionaries. The collectors of
aioprometheus are filled when the metrics are rendered.
"""

import bisect
import dataclasses
import itertools
import pathlib
import resource
import time
from collections.abc import Callable, Mapping, Sequence

import aioprometheus
from aioprometheus import histogram

COUNTER = "counter"
GAUGE = "gauge"
HISTOGRAM = "histogram"
PREFIX = "egretthread_"
STATM = pathlib.Path("/proc/self/statm")
# Upper bounds of the histogram buckets.
BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
)

Labels = tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Metric:
    """Declares one metric.

    Attributes:
        name: Name without the common prefix.
        kind: COUNTER, GAUGE or HISTOGRAM.
        doc: Help text of the metric.
        labels: Names of the labels.
    """

    name: str
    kind: str
    doc: str
    labels: Labels = ()


METRICS = (
    Metric("events_total", COUNTER, "Events by name.", ("event",)),
    Metric("messages_sent_total", COUNTER, "Messages sent.", ("message",)),
    Metric("messages_received_total", COUNTER, "Messages read.", ("message",)),
    Metric("job_seconds", HISTOGRAM, "Time to answer a job."),
    Metric("claim_seconds", HISTOGRAM, "Time to register a job."),
    Metric("queue_seconds", HISTOGRAM, "Wait of tasks for a slot."),
    Metric("task_seconds", HISTOGRAM, "Run time of a task."),
    Metric("store_seconds", HISTOGRAM, "Time of a call.", ("call", "result")),
    Metric("queued_tasks", GAUGE, "Tasks waiting for a slot."),
    Metric("running_tasks", GAUGE, "Tasks running now."),
    Metric("backlog_seconds", GAUGE, "Time for which tasks have waited."),
    Metric("open_jobs", GAUGE, "Jobs without an answer yet."),
    Metric("forwarded_jobs", GAUGE, "Jobs forwarded, without an answer yet."),
    Metric("received_jobs", GAUGE, "Open jobs forwarded by other entries."),
    Metric("kept_jobs", GAUGE, "Jobs whose answer is kept."),
    Metric("agents", GAUGE, "Agents known."),
    Metric("entries", GAUGE, "Other entries heard of."),
    Metric("slots", GAUGE, "Slots in force."),
    Metric("ledger_jobs", GAUGE, "Jobs with tasks handed to this agent."),
    Metric("witness_records", GAUGE, "Job keys held as a witness."),
    Metric("witness_shards", GAUGE, "Shards of the witness table held."),
    Metric(
        "share_cores",
        GAUGE,
        "Cores of the runs ordered and not ended, by share.",
        ("service", "share"),
    ),
    Metric("lease_open", GAUGE, "1 while work may start, else 0."),
    Metric("config_offset", GAUGE, "Log offset of the configuration."),
    Metric("log_age_seconds", GAUGE, "Time since the log's end was read."),
    Metric("server_speed", GAUGE, "Believed speed of the backend server."),
    Metric(
        "server_speed_uncertainty",
        GAUGE,
        "Standard deviation of the logarithm of that speed.",
    ),
    Metric(
        "long_job_share",
        GAUGE,
        "Highest share of long jobs among the routes.",
    ),
    Metric("link_frames_sent_total", COUNTER, "Batches written to links."),
    Metric("link_bytes_sent_total", COUNTER, "Bytes written to links."),
    Metric("link_bytes_received_total", COUNTER, "Bytes read from links."),
    Metric("cpu_seconds_total", COUNTER, "Processor time of the process."),
    Metric("resident_bytes", GAUGE, "Resident memory of the process."),
)
# Prefixes of blackboard counters that count messages by class.
SENT_PREFIX = "sent_"
RECEIVED_PREFIX = "received_"


class Samples:
    """Observations of one histogram with one set of label values.

    Attributes:
        counts: Observations per bucket; the last has no upper bound.
        sum_s: Sum of the observations, in seconds.
    """

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, value_s: float) -> None:
        """Adds one observation."""
        self.counts[bisect.bisect_left(BUCKETS_S, value_s)] += 1
        self.sum_s += value_s

    def to_histogram(self) -> histogram.Histogram:
        """Converts the observations to a histogram of aioprometheus."""
        converted = histogram.Histogram(*BUCKETS_S)
        totals = itertools.accumulate(self.counts)
        for bound, total in zip(converted.buckets, totals, strict=True):
            converted.buckets[bound] = total
        converted.observations = sum(self.counts)
        converted.sum = self.sum_s
        return converted


class Metrics:
    """The metrics of one process.

    Attributes:
        table: The declared metrics by name.
        values: Values of counters and gauges by name and label values.
        samples: Observations of histograms by name and label values.
        refreshers: Functions that are called before each rendering to update
            the values.
    """

    def __init__(self, table: Sequence[Metric] = METRICS):
        self.table = {metric.name: metric for metric in table}
        self.values: dict[str, dict[Labels, float]] = {
            name: {} for name in self.table
        }
        self.samples: dict[str, dict[Labels, Samples]] = {
            name: {} for name in self.table
        }
        self.refreshers: list[Callable[[Metrics], None]] = [measure_process]

    def count(self, name: str, *labels: str, amount: float = 1) -> None:
        """Increments a counter."""
        values = self.values[name]
        values[labels] = values.get(labels, 0) + amount

    def set(self, name: str, value: float, *labels: str) -> None:
        """Sets a gauge."""
        self.values[name][labels] = value

    def observe(self, name: str, value_s: float, *labels: str) -> None:
        """Adds an observation, in seconds, to a histogram."""
        samples = self.samples[name]
        if labels not in samples:
            samples[labels] = Samples()
        samples[labels].add(value_s)

    def set_counters(self, counters: Mapping[str, float]) -> None:
        """Sets the counters of events and messages from a blackboard's."""
        for name, value in counters.items():
            if name.startswith(SENT_PREFIX):
                label = name.removeprefix(SENT_PREFIX)
                self.values["messages_sent_total"][(label,)] = value
            elif name.startswith(RECEIVED_PREFIX):
                label = name.removeprefix(RECEIVED_PREFIX)
                self.values["messages_received_total"][(label,)] = value
            else:
                self.values["events_total"][(name,)] = value

    def clear(self, name: str) -> None:
        """Removes all values of a gauge, so that stale labels disappear."""
        self.values[name].clear()

    def render(self, accept: Sequence[str] = ()) -> tuple[bytes, str]:
        """Renders the metrics for a scrape.

        Args:
            accept: The request's Accept headers.

        Returns:
            The body of the response and its content type.
        """
        for refresh in self.refreshers:
            refresh(self)
        registry = aioprometheus.Registry()
        for metric in self.table.values():
            self.register(metric, registry)
        body, headers = aioprometheus.render(registry, list(accept))
        return body, headers["Content-Type"]

    def register(
        self, metric: Metric, registry: aioprometheus.Registry
    ) -> None:
        """Registers a collector with the current values of one metric."""
        collector = COLLECTORS[metric.kind](
            PREFIX + metric.name, metric.doc, registry=registry
        )
        for labels, value in self.values[metric.name].items():
            collector.set_value(_label_values(metric, labels), value)
        for labels, samples in self.samples[metric.name].items():
            collector.set_value(
                _label_values(metric, labels), samples.to_histogram()
            )


def measure_process(metrics: Metrics) -> None:
    """Sets the metrics of the process itself."""
    metrics.set("cpu_seconds_total", time.process_time())
    pages = int(STATM.read_text().split()[1])
    metrics.set("resident_bytes", pages * resource.getpagesize())


def set_traffic(metrics: Metrics, traffic) -> None:
    """Sets the metrics of a process's links from its `link.Traffic`."""
    metrics.set("link_frames_sent_total", traffic.frames_sent)
    metrics.set("link_bytes_sent_total", traffic.bytes_sent)
    metrics.set("link_bytes_received_total", traffic.bytes_received)


def _label_values(metric: Metric, labels: Labels) -> dict[str, str]:
    # aioprometheus does not escape label values.
    return {
        name: _escape(str(value))
        for name, value in zip(metric.labels, labels, strict=True)
    }


def _escape(value: str) -> str:
    value = value.replace("\\", "\\\\").replace('"', '\\"')
    return value.replace("\n", "\\n")


COLLECTORS = {
    COUNTER: aioprometheus.Counter,
    GAUGE: aioprometheus.Gauge,
    HISTOGRAM: aioprometheus.Histogram,
}
