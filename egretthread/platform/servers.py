"""HTTP between an agent and its backend server: heartbeats and calls."""

import collections
import reprlib
import socket

import orjson
import tornado.web

from egretthread import backendpool, logs, util
from egretthread.httpconnection import Response
from egretthread.intake import IntakeLimits
from egretthread.platform import bodies, listener
from egretthread.scheduling.agentboard import (
    ServerLeave,
    ServerRecord,
    StartCall,
    StopCall,
    TaskName,
)
from egretthread.scheduling.servercall import (
    CallResult,
    EndedRun,
    PollCall,
    PollResult,
    RunningRun,
    ServerEnd,
    Verdict,
)
from egretthread.scheduling.serveridentity import ForeignServerError

# Id of the backend server's incarnation that a request is meant for. Another
# incarnation at the same address rejects the request.
INSTANCE_HEADER = "X-Egretthread-Expected-Instance"
# Response timeout of a poll, in addition to the wait that it requests. It is
# short because the backend server runs on the same machine.
POLL_TIMEOUT_S = 0.06
# Polls wait for runs to end and have a connection of their own, so that they do
# not delay start and stop calls.
START_CONNECTIONS = 3
POLL_CONNECTIONS = 1
# All runs of a lost entry are stopped at once, and have to end before their
# lease is no longer renewed.
STOP_CONNECTIONS = 32
# The backend server closes connections that are idle for longer than this.
# Opening a new connection costs more than finding one closed.
MAX_IDLE_S = 60.0
MAX_BODY_BYTES = 4 * 2**20

# Verdict for each `reason` in a response with status 409.
REASONS = {
    "fence": Verdict.FENCED,
    "old": Verdict.STALE_NUMBER,
    "late": Verdict.LEASE_EXPIRED,
    "room": Verdict.NO_ROOM,
    "ticket": Verdict.INVALID,
}
# Verdict for each other status.
CODES = {
    200: Verdict.OK,
    400: Verdict.INVALID,
    421: Verdict.WRONG_INSTANCE,
    429: Verdict.UNHEALTHY,
    503: Verdict.UNHEALTHY,
}
STATES = ("ready", "draining")
# Fields that the heartbeats of a backend server have either always or never.
OPTIONAL_FIELDS = {"born", "labels"}
AMOUNTS = {"cpu", "mem_mb", "gpu"}


def decode_heartbeat(server: str, body: bytes) -> tuple[ServerRecord, int]:
    """Decodes a heartbeat of the backend server.

    Args:
        server: Id of the backend server, from the path of the request.
        body: Body of the request.

    Returns:
        The backend server's record, and its clock in ms.

    Raises:
        bodies.BodyError: The body is malformed.
    """
    table = bodies.parse(body)
    state = bodies.field(table, "state", str)
    if state not in STATES:
        raise bodies.BodyError(
            f"state is {reprlib.repr(state)}", f"set state to one of {STATES}"
        )
    # Not used here, but a heartbeat without them is not of a backend server.
    bodies.label(table, "address")
    bodies.field(table, "version", str)
    bodies.count(table, "slots")
    bodies.amount(table, "cold_remaining_ms")
    capacity = bodies.field(table, "capacity", dict)
    if not AMOUNTS & capacity.keys():
        raise bodies.BodyError(
            "capacity has no amount", f"set some of {sorted(AMOUNTS)}"
        )
    started_unix_ms = bodies.count(table, "born", 0)
    if "born" in table and not started_unix_ms:
        raise bodies.BodyError("born is 0", "set born to the time of the start")
    record = ServerRecord(
        server=server,
        started_unix_ms=started_unix_ms,
        service=bodies.label(table, "service"),
        zone=bodies.label(table, "zone"),
        labels=bodies.strings(table, "labels"),
        capacity=bodies.room(capacity),
        is_draining=state == "draining",
        drain_s=bodies.count(table, "drain_remaining_ms", 0) / 1000,
        sequence=bodies.count(table, "sequence"),
        reported=frozenset(OPTIONAL_FIELDS & table.keys())
        | {f"capacity.{amount}" for amount in AMOUNTS & capacity.keys()},
    )
    return record, bodies.count(table, "clock_ms")


def decode_leave(server: str, body: bytes) -> ServerLeave:
    """Decodes the notice that a backend server leaves.

    Args:
        server: Id of the backend server, from the path of the request.
        body: Body of the request, which may be empty.

    Raises:
        bodies.BodyError: The body is malformed.
    """
    table = bodies.parse(body) if body else {}
    return ServerLeave(
        server,
        bodies.count(table, "born", 0),
        bodies.field(table, "service", str, ""),
    )


def encode_name(name: TaskName) -> str:
    """Returns a task's name in the platform's format."""
    return f"{name.job}.{name.occurrence}.{name.step}.{name.index}"


def decode_name(text: str) -> TaskName:
    """Parses a task's name in the platform's format.

    Raises:
        ValueError: The text is not a task name.
    """
    job, occurrence, step, index = str(text).split(".")
    return TaskName(job, int(step), int(index), int(occurrence))


def decode_poll_result(body: bytes) -> PollResult:
    """Decodes the response to a poll.

    Raises:
        bodies.BodyError: The body is malformed.
    """
    table = bodies.parse(body)
    # A row of `running` holds the task, the run's number, a value that is not
    # used here and the progress in percent. A row of `ended` holds the sequence
    # number of the end, the task, the run's number and how the run ended.
    try:
        running = tuple(
            RunningRun(decode_name(row[0]), row[1], row[3])
            for row in table.get("running", ())
        )
        ended = tuple(
            EndedRun(row[0], decode_name(row[1]), row[2], ServerEnd(row[3]))
            for row in table.get("ended", ())
        )
    except (ValueError, TypeError, IndexError) as error:
        raise bodies.BodyError(
            f"a row in running or ended is malformed: {error}",
            "send rows in the documented format",
        ) from error
    return PollResult(
        Verdict.OK,
        bodies.count(table, "clock_ms"),
        bodies.count(table, "born", 0),
        running,
        ended,
    )


class BackendServerClient:
    """Client of the agent's backend server.

    Attributes:
        start_pool: Connections for starting runs.
        stop_pool: Connections for stopping runs.
        poll_pool: Connections for polls.
    """

    def __init__(self, address: str):
        url = f"http://{address}"
        self.start_pool = backendpool.ConnectionPool(
            url, START_CONNECTIONS, MAX_BODY_BYTES, MAX_IDLE_S
        )
        self.stop_pool = backendpool.ConnectionPool(
            url, STOP_CONNECTIONS, MAX_BODY_BYTES, MAX_IDLE_S, closes_idle=True
        )
        self.poll_pool = backendpool.ConnectionPool(
            url, POLL_CONNECTIONS, MAX_BODY_BYTES, MAX_IDLE_S
        )

    def close(self) -> None:
        """Closes the connections."""
        self.start_pool.close()
        self.stop_pool.close()
        self.poll_pool.close()

    async def start_run(self, call: StartCall) -> CallResult:
        """Asks the backend server to start a run."""
        table = {
            "task": encode_name(call.run.name),
            "run": call.number,
            "task_spec": call.run.payload,
            "until_ms": call.until_ms,
            "fencing_token": call.token,
        }
        return await self._call(self.start_pool, "/run-start", table, call)

    async def stop_run(self, call: StopCall) -> CallResult:
        """Asks the backend server to stop a run."""
        table = {
            "task": encode_name(call.name),
            "run": call.number,
            "fencing_token": call.token,
        }
        return await self._call(self.stop_pool, "/run-stop", table, call)

    async def poll(self, call: PollCall) -> PollResult:
        """Lists the runs and renews their lease."""
        table = {
            "fencing_token": call.token,
            "last_seen": call.last_seen,
            "wait_ms": call.wait_ms,
        }
        if call.until_ms:
            table["until_ms"] = call.until_ms
        timeout_s = POLL_TIMEOUT_S + call.wait_ms / 1000
        verdict, body = await self._send(
            self.poll_pool, "/hold", table, call.server, timeout_s
        )
        if verdict is not Verdict.OK:
            return PollResult(verdict, _clock_ms(body))
        try:
            return decode_poll_result(body)
        except bodies.BodyError as error:
            logs.error("poll_response_malformed", error=str(error))
            return PollResult(Verdict.NO_ANSWER)

    async def _call(
        self,
        pool: backendpool.ConnectionPool,
        path: str,
        table: dict,
        call: StartCall | StopCall,
    ) -> CallResult:
        verdict, body = await self._send(
            pool, path, table, call.server, call.timeout_s
        )
        return CallResult(verdict, _clock_ms(body))

    async def _send(
        self,
        pool: backendpool.ConnectionPool,
        path: str,
        table: dict,
        server: str,
        timeout_s: float,
    ) -> tuple[Verdict, bytes]:
        headers = {INSTANCE_HEADER: server} if server else {}
        try:
            response = await pool.request(
                path, orjson.dumps(table), timeout_s, "POST", headers
            )
        except ConnectionRefusedError:
            return Verdict.NOT_LISTENING, b""
        except OSError as error:
            logs.info(
                "backend_request_lost", path=path, error=type(error).__name__
            )
            return Verdict.NO_ANSWER, b""
        return _verdict(response), response.body


def _verdict(response: Response) -> Verdict:
    if response.code == 409:
        table = _parse_or_empty(response.body)
        return REASONS.get(table.get("reason"), Verdict.INVALID)
    verdict = CODES.get(response.code)
    if verdict is None:
        logs.warning("backend_status_unexpected", code=response.code)
        return Verdict.NO_ANSWER
    return verdict


def _parse_or_empty(body: bytes) -> dict:
    try:
        return bodies.parse(body)
    except bodies.BodyError:
        # The body is optional; the status alone is sufficient.
        return {}


def _clock_ms(body: bytes) -> int:
    value = _parse_or_empty(body).get("clock_ms", 0) if body else 0
    return value if isinstance(value, int) else 0


class HeartbeatHandler(tornado.web.RequestHandler):
    """Receives heartbeats of the backend server."""

    def initialize(self, on_heartbeat) -> None:
        """Stores the callback for heartbeats."""
        self.on_heartbeat = on_heartbeat

    def post(self, server: str) -> None:
        """Decodes a heartbeat and passes it on."""
        try:
            record, clock_ms = decode_heartbeat(server, self.request.body)
            self.on_heartbeat(record, clock_ms)
        except bodies.BodyError as error:
            logs.warning("heartbeat_malformed", error=str(error))
            _refuse(self, error)
        except ForeignServerError as error:
            logs.warning("heartbeat_foreign", error=str(error))
            _refuse(self, error)
        else:
            _acknowledge(self)


class LeaveHandler(tornado.web.RequestHandler):
    """Receives the notice that the backend server leaves."""

    def initialize(self, on_leave) -> None:
        """Stores the callback for the notice."""
        self.on_leave = on_leave

    def post(self, server: str) -> None:
        """Decodes the notice and passes it on."""
        try:
            self.on_leave(decode_leave(server, self.request.body))
        except bodies.BodyError as error:
            logs.warning("leave_malformed", error=str(error))
            _refuse(self, error)
        except ForeignServerError as error:
            logs.warning("leave_foreign", error=str(error))
            _refuse(self, error)
        else:
            _acknowledge(self)


def _acknowledge(handler: tornado.web.RequestHandler) -> None:
    handler.set_header("Content-Type", "application/json")
    handler.finish("{}")


def _refuse(
    handler: tornado.web.RequestHandler, error: util.EgretthreadError
) -> None:
    handler.set_status(400)
    handler.set_header("Content-Type", "application/json")
    handler.finish(
        orjson.dumps(
            {
                "kind": error.kind,
                "error": error.message,
                "remedy": error.remedy,
            }
        )
    )


def serve(
    listening: socket.socket,
    on_heartbeat,
    on_leave,
    limits: IntakeLimits,
    counters: collections.Counter,
):
    """Starts the HTTP server that receives the backend server's requests."""
    return listener.serve(
        listening,
        [
            (
                r"/Instances\.Heartbeat/([^/]+)",
                HeartbeatHandler,
                {"on_heartbeat": on_heartbeat},
            ),
            (
                r"/Instances\.Leave/([^/]+)",
                LeaveHandler,
                {"on_leave": on_leave},
            ),
        ],
        limits=limits,
        body_limit=lambda: MAX_BODY_BYTES,
        counters=counters,
    )
