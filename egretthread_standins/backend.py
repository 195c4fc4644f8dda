"""HTTP stand-in for a backend server, which records every start of a task.

`POST /tasks/ORGANISATION/KEY/INDEX` runs one task; the JSON body has its
`kind` and its `run_s`. `GET /starts` returns all starts and the tasks that
started more than once, `GET /health` the health, and `POST /control` injects
faults.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable

import tornado.httpserver
import tornado.netutil
import tornado.web

from egretthread_standins import ledger

HOST = "127.0.0.1"


class TaskFailedError(Exception):
    """The task ran and failed."""


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """Settings of a backend server.

    Attributes:
        port: TCP port on 127.0.0.1; 0 selects a free one.
        ledger_seed: Seed of the ledger that statement lines are matched with.
    """

    port: int = 0
    ledger_seed: int = 1


@dataclasses.dataclass
class BackendFaults:
    """The faults that a backend server currently injects.

    Attributes:
        fail_all: Whether every task starts and fails.
        hang: Whether every task starts and never ends.
        silent: Whether tasks and health checks get no response; no task
            starts.
        refuse: Whether tasks and health checks get 503; no task starts.
    """

    fail_all: bool = False
    hang: bool = False
    silent: bool = False
    refuse: bool = False


@dataclasses.dataclass(frozen=True, order=True)
class TaskId:
    """Identifies one task."""

    organisation: str
    key: str
    index: int


class BackendServer:
    """The backend server's state and its HTTP server.

    `start` needs a running event loop.

    Attributes:
        settings: The settings.
        faults: The faults that are currently injected.
        starts: Unix times of the starts of each task.
        running: Number of tasks running now.
        peak_running: Highest number of tasks that ran concurrently.
        stopped: Set by `close`, which ends tasks that hang.
        port: The TCP port; chosen by `start` if it was 0.
    """

    def __init__(
        self,
        settings: BackendSettings = BackendSettings(),  # noqa: B008
    ):
        self.settings = settings
        self.faults = BackendFaults()
        self.starts: dict[TaskId, list[float]] = collections.defaultdict(list)
        self.running = 0
        self.peak_running = 0
        self.stopped = asyncio.Event()
        self.port = settings.port
        self.server: tornado.httpserver.HTTPServer | None = None

    @property
    def url(self) -> str:
        """The server's base URL, once started."""
        return f"http://{HOST}:{self.port}"

    def start(self) -> None:
        """Binds the port and serves requests."""
        routes = [
            (r"/tasks/([^/]+)/([^/]+)/(\d+)", TaskHandler),
            (r"/health", HealthHandler),
            (r"/starts", StartsHandler),
            (r"/control", ControlHandler),
        ]
        options = {"backend": self}
        app = tornado.web.Application(
            [(path, handler, options) for path, handler in routes],
            log_function=lambda handler: None,
        )
        sockets = tornado.netutil.bind_sockets(self.port, HOST)
        self.port = sockets[0].getsockname()[1]
        self.stopped.clear()
        self.server = tornado.httpserver.HTTPServer(app)
        self.server.add_sockets(sockets)

    async def close(self) -> None:
        """Stops listening and closes all connections, but keeps the starts."""
        server, self.server = self.server, None
        self.stopped.set()
        if server:
            server.stop()
            await server.close_all_connections()

    def control(self, change: dict) -> None:
        """Changes the injected faults.

        Raises:
            ValueError: The change names an unknown fault.
        """
        for name in change:
            if name not in BackendFaults.__dataclass_fields__:
                raise ValueError(f"unknown fault {name}")
        for name, value in change.items():
            setattr(self.faults, name, bool(value))

    def double_starts(self) -> dict[TaskId, list[float]]:
        """Returns the start times of tasks that started more than once."""
        return {task: times for task, times in self.starts.items() if times[1:]}

    async def run(self, task: TaskId, payload: dict) -> dict:
        """Records a start, runs the task and returns its result.

        Raises:
            TaskFailedError: The task failed.
        """
        self.starts[task].append(time.time())
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            if self.faults.hang:
                return await run_hang(self, payload)
            if self.faults.fail_all:
                raise TaskFailedError("this backend server fails every task")
            runner = find_runner(payload)
            await asyncio.sleep(float(payload.get("run_s", 0.0)))
            return await runner(self, payload)
        finally:
            self.running -= 1


async def run_sleep(backend: BackendServer, payload: dict) -> dict:
    """Returns the run time, which has already passed."""
    return {"slept_s": payload.get("run_s", 0.0)}


async def run_line_lookup(backend: BackendServer, payload: dict) -> dict:
    """Returns the declared account that matches a bank statement line."""
    line = str(payload.get("line", ""))
    match = ledger.match_line(backend.settings.ledger_seed, line)
    return dataclasses.asdict(match)


async def run_fail(backend: BackendServer, payload: dict) -> dict:
    """Fails with the reason in the payload."""
    raise TaskFailedError(str(payload.get("reason", "asked to fail")))


async def run_hang(backend: BackendServer, payload: dict) -> dict:
    """Runs until the backend server closes."""
    await backend.stopped.wait()
    raise TaskFailedError("the backend server closed")


Runner = Callable[[BackendServer, dict], Awaitable[dict]]

RUNNERS: dict[str, Runner] = {
    "sleep": run_sleep,
    "line-lookup": run_line_lookup,
    "fail": run_fail,
    "hang": run_hang,
}


def find_runner(payload: dict) -> Runner:
    """Returns the runner for the payload's kind.

    Raises:
        TaskFailedError: The kind is unknown.
    """
    kind = payload.get("kind", "sleep")
    if kind not in RUNNERS:
        raise TaskFailedError(f"unknown kind {kind!r}")
    return RUNNERS[kind]


class BackendHandler(tornado.web.RequestHandler):
    """Base class of the handlers."""

    def initialize(self, backend: BackendServer) -> None:
        """Sets the backend server."""
        self.backend = backend

    def respond_error(self, status: int, text: str) -> None:
        """Sends an error response with a text."""
        self.set_status(status)
        self.set_header("Content-Type", "text/plain")
        self.finish(text)


class FaultyHandler(BackendHandler):
    """Base class of the handlers that faults can keep from responding."""

    async def prepare(self) -> None:
        """Injects the faults `silent` and `refuse`."""
        if self.backend.faults.silent:
            await self.backend.stopped.wait()
            self.respond_error(503, "backend server closed; task not started")
        elif self.backend.faults.refuse:
            self.respond_error(503, "refused by a fault; task not started")


class TaskHandler(FaultyHandler):
    """Runs one task."""

    async def post(self, organisation: str, key: str, index: str) -> None:
        """Responds 200 with the result, or 500 with the text of the error."""
        task = TaskId(organisation, key, int(index))
        try:
            payload = json.loads(self.request.body)
            self.finish(await self.backend.run(task, payload))
        except (TaskFailedError, ValueError, AttributeError) as error:
            self.respond_error(500, str(error))


class HealthHandler(FaultyHandler):
    """Answers health checks."""

    def get(self) -> None:
        """Responds 200 with the number of running tasks."""
        self.finish({"healthy": True, "running": self.backend.running})


class StartsHandler(BackendHandler):
    """Returns the recorded starts."""

    def get(self) -> None:
        """Returns counts of starts, tasks started twice and all times."""
        starts = self.backend.starts
        self.finish(
            {
                "starts": sum(len(times) for times in starts.values()),
                "tasks": len(starts),
                "running": self.backend.running,
                "peak_running": self.backend.peak_running,
                "double_starts": starts_to_json(self.backend.double_starts()),
                "times": starts_to_json(starts),
            }
        )


class ControlHandler(BackendHandler):
    """Changes the faults that the backend server injects."""

    def post(self) -> None:
        """Sets the faults named in the JSON body and returns all of them."""
        try:
            self.backend.control(json.loads(self.request.body))
        except (ValueError, TypeError, AttributeError) as error:
            self.respond_error(400, str(error))
            return
        self.finish(dataclasses.asdict(self.backend.faults))


def starts_to_json(starts: dict[TaskId, list[float]]) -> list[dict]:
    """Returns the starts as a list of JSON objects, one per task."""
    return [
        dataclasses.asdict(task) | {"times_s": times}
        for task, times in starts.items()
    ]


async def serve(settings: BackendSettings) -> None:
    """Runs the backend server until cancelled."""
    backend = BackendServer(settings)
    backend.start()
    print(f"listening {HOST}:{backend.port}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await backend.close()


def parse_settings(arguments: list[str] | None = None) -> BackendSettings:
    """Returns the settings given on the command line."""
    default = BackendSettings()
    parser = argparse.ArgumentParser(description="Backend server stand-in.")
    parser.add_argument("--port", type=int, default=default.port)
    parser.add_argument("--ledger-seed", type=int, default=default.ledger_seed)
    return BackendSettings(**vars(parser.parse_args(arguments)))


def main() -> None:
    """Runs the backend server stand-in."""
    try:
        asyncio.run(serve(parse_settings()))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
