"""HTTP interface of every process for operators: state, metrics, health."""

from collections.abc import Callable, Mapping

import orjson
import tornado.netutil
import tornado.web

from egretthread import dump, intake, metrics
from egretthread.intakeserver import IntakeServer
from egretthread.settings import join_address, split_address

Gauges = Mapping[str, Callable[[object], float]]


class StateHandler(tornado.web.RequestHandler):
    """Dumps the blackboard: GET /state."""

    def initialize(self, server):
        """Stores the admin server."""
        self.server = server

    def get(self):
        """Answers with the blackboard as JSON, without secrets."""
        body = dump.to_json(self.server.board)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body, option=orjson.OPT_NON_STR_KEYS))


class MetricsHandler(tornado.web.RequestHandler):
    """Serves the metrics: GET /metrics."""

    def initialize(self, server):
        """Stores the admin server."""
        self.server = server

    def get(self):
        """Answers with the metrics in Prometheus' text format."""
        accept = self.request.headers.get_list("Accept")
        body, content_type = self.server.metrics.render(accept)
        self.set_header("Content-Type", content_type)
        self.finish(body)


class HealthHandler(tornado.web.RequestHandler):
    """Reports whether the process is ready to serve: GET /health."""

    def initialize(self, server):
        """Stores the admin server."""
        self.server = server

    def get(self):
        """Answers with the gauges; 200 while the lease is open, else 503."""
        gauges = self.server.gauge_values()
        if not gauges["lease_open"]:
            self.set_status(503)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(gauges))


class AdminServer:
    """The admin HTTP server of one process.

    Attributes:
        board: The process's blackboard.
        metrics: The process's metrics.
        gauges: Functions that read a gauge from the blackboard, by name.
        address: `host:port` to listen on; with the actual port once started.
    """

    def __init__(self, board, address: str, gauges: Gauges):
        self.board = board
        self.metrics = metrics.Metrics()
        self.metrics.refreshers.append(self._refresh)
        self.gauges = gauges
        self.address = address
        context = {"server": self}
        application = tornado.web.Application(
            [
                (r"/state", StateHandler, context),
                (r"/metrics", MetricsHandler, context),
                (r"/health", HealthHandler, context),
            ],
            log_function=lambda handler: None,
        )
        self.http = IntakeServer(
            application,
            intake.SMALL_LIMITS,
            lambda: intake.SMALL_BODY_BYTES,
            board.counters,
        )

    def _refresh(self, process_metrics: metrics.Metrics) -> None:
        """Updates the metrics from the blackboard."""
        process_metrics.set_counters(self.board.counters)
        for name, value in self.gauge_values().items():
            process_metrics.set(name, value)
        self.observe_samples()

    def observe_samples(self) -> None:
        """Moves the durations on the blackboard into the histograms."""
        samples = self.board.samples
        pending = tuple(samples)
        samples.clear()
        for name, value_s, *labels in pending:
            self.metrics.observe(name, value_s, *labels)

    def gauge_values(self) -> dict[str, float]:
        """Returns the current value of every gauge."""
        return {name: read(self.board) for name, read in self.gauges.items()}

    def start(self) -> None:
        """Starts to listen on the admin address."""
        host, port = split_address(self.address)
        sockets = tornado.netutil.bind_sockets(port, host)
        self.http.add_sockets(sockets)
        self.address = join_address(*sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self.http.stop()
        await self.http.close_all_connections()
