"""HTTP with the backend server beside an agent: heartbeats and orders."""

import orjson
import tornado.web
from tornado import iostream

from egretthread import backendpool, logs
from egretthread.platform import bodies, listener
from egretthread.scheduling.agentboard import (
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

# Names the incarnation that an order is meant for.
INSTANCE_HEADER = "X-Egretthread-Expected-Instance"
# Time for an answer to a look, beyond the wait that it asks for; the backend
# server is on the same machine.
LOOK_TIMEOUT_S = 0.06
# Connections for orders, and for looks, which wait.
ORDER_CONNECTIONS = 3
LOOK_CONNECTIONS = 1
# The backend server closes a connection that is idle for longer; a new one
# costs more than one that is found closed.
MAX_IDLE_S = 60.0
MAX_BODY_BYTES = 4 * 2**20
LOST_ERRORS = (OSError, TimeoutError, iostream.StreamClosedError)

# What the reason in a 409 says.
REASONS = {
    "fence": Verdict.FENCED,
    "old": Verdict.STALE_NUMBER,
    "late": Verdict.LEASE_EXPIRED,
    "room": Verdict.NO_ROOM,
    "ticket": Verdict.INVALID,
}
CODES = {
    200: Verdict.OK,
    400: Verdict.INVALID,
    421: Verdict.WRONG_INSTANCE,
    429: Verdict.UNHEALTHY,
    503: Verdict.UNHEALTHY,
}
STATES = ("ready", "draining")


def decode_heartbeat(server: str, body: bytes) -> tuple[ServerRecord, int]:
    """Returns a heartbeat's record, and the backend server's clock in ms.

    Raises:
        bodies.BodyError: The body does not have its form.
    """
    table = bodies.parse(body)
    state = bodies.field(table, "state", str)
    if state not in STATES:
        raise bodies.BodyError(f"state is {state!r}", f"give one of {STATES}")
    record = ServerRecord(
        server=server,
        started_unix_ms=bodies.count(table, "born", 0),
        service=bodies.field(table, "service", str),
        zone=bodies.field(table, "zone", str),
        labels=bodies.texts(table, "labels"),
        capacity=bodies.room(bodies.field(table, "capacity", dict)),
        is_draining=state == "draining",
        drain_s=bodies.count(table, "drain_remaining_ms", 0) / 1000,
        sequence=bodies.count(table, "sequence", 0),
    )
    return record, bodies.count(table, "clock_ms", 0)


def encode_name(name: TaskName) -> str:
    """Returns a task's name as the platform writes it."""
    return f"{name.job}.{name.occurrence}.{name.step}.{name.index}"


def decode_name(text: str) -> TaskName:
    """Returns the task that a name of the platform means.

    Raises:
        ValueError: It is none.
    """
    job, occurrence, step, index = str(text).split(".")
    return TaskName(job, int(step), int(index), int(occurrence))


def decode_look(body: bytes) -> PollResult:
    """Returns the answer to a look.

    Raises:
        bodies.BodyError: The body does not have its form.
    """
    table = bodies.parse(body)
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
            f"a row of runs: {error}", "see the row"
        ) from error
    return PollResult(
        Verdict.OK,
        bodies.count(table, "clock_ms"),
        bodies.count(table, "born", 0),
        running,
        ended,
    )


class BackendServerClient:
    """Orders to the backend server beside the agent.

    Attributes:
        orders: Connections for orders.
        looks: Connections for looks.
    """

    def __init__(self, address: str):
        url = f"http://{address}"
        self.orders = backendpool.ConnectionPool(
            url, ORDER_CONNECTIONS, MAX_BODY_BYTES, MAX_IDLE_S
        )
        self.looks = backendpool.ConnectionPool(
            url, LOOK_CONNECTIONS, MAX_BODY_BYTES, MAX_IDLE_S
        )

    def close(self) -> None:
        """Closes the connections."""
        self.orders.close()
        self.looks.close()

    async def start_run(self, call: StartCall) -> CallResult:
        """Starts a run."""
        table = {
            "task": encode_name(call.run.name),
            "run": call.number,
            "task_spec": call.run.payload,
            "until_ms": call.until_ms,
            "fencing_token": call.token,
        }
        return await self._order("/run-start", table, call)

    async def stop_run(self, call: StopCall) -> CallResult:
        """Stops a run."""
        table = {
            "task": encode_name(call.name),
            "run": call.number,
            "fencing_token": call.token,
        }
        return await self._order("/run-stop", table, call)

    async def poll(self, call: PollCall) -> PollResult:
        """Looks at the runs and renews their lease."""
        table = {
            "fencing_token": call.token,
            "last_seen": call.last_seen,
            "wait_ms": call.wait_ms,
        }
        if call.until_ms:
            table["until_ms"] = call.until_ms
        timeout_s = LOOK_TIMEOUT_S + call.wait_ms / 1000
        verdict, body = await self._send(
            self.looks, "/hold", table, call.server, timeout_s
        )
        if verdict is not Verdict.OK:
            return PollResult(verdict, _clock_ms(body))
        try:
            return decode_look(body)
        except bodies.BodyError as error:
            logs.error("look_unreadable", error=str(error))
            return PollResult(Verdict.NO_ANSWER)

    async def _order(
        self, path: str, table: dict, call: StartCall | StopCall
    ) -> CallResult:
        verdict, body = await self._send(
            self.orders, path, table, call.server, call.timeout_s
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
        except LOST_ERRORS as error:
            if isinstance(error, iostream.StreamClosedError) and isinstance(
                error.real_error, ConnectionRefusedError
            ):
                return Verdict.NOT_LISTENING, b""
            logs.info("order_lost", path=path, error=type(error).__name__)
            return Verdict.NO_ANSWER, b""
        return _verdict(response), response.body


def _verdict(response: backendpool.Response) -> Verdict:
    if response.code == 409:
        table = _table(response.body)
        return REASONS.get(table.get("reason"), Verdict.INVALID)
    verdict = CODES.get(response.code)
    if verdict is None:
        logs.warning("order_status_unknown", code=response.code)
        return Verdict.NO_ANSWER
    return verdict


def _table(body: bytes) -> dict:
    try:
        return bodies.parse(body)
    except bodies.BodyError:
        # A status without a body tells enough.
        return {}


def _clock_ms(body: bytes) -> int:
    value = _table(body).get("clock_ms", 0) if body else 0
    return value if isinstance(value, int) else 0


class HeartbeatHandler(tornado.web.RequestHandler):
    """Takes heartbeats of the backend server."""

    def initialize(self, on_heartbeat) -> None:
        """Keeps the function that takes them."""
        self.on_heartbeat = on_heartbeat

    def post(self, server: str) -> None:
        """Takes one heartbeat."""
        try:
            record, clock_ms = decode_heartbeat(server, self.request.body)
        except bodies.BodyError as error:
            logs.warning("heartbeat_unreadable", error=str(error))
            self.set_status(400)
        else:
            self.on_heartbeat(record, clock_ms)
            self.set_header("Content-Type", "application/json")
            self.write("{}")
        self.finish()


class LeaveHandler(tornado.web.RequestHandler):
    """Takes the farewell of the backend server."""

    def initialize(self, on_leave) -> None:
        """Keeps the function that takes it."""
        self.on_leave = on_leave

    def post(self, server: str) -> None:
        """Takes the farewell."""
        self.on_leave(server)
        self.set_header("Content-Type", "application/json")
        self.finish("{}")


def listen(address: str, on_heartbeat, on_leave):
    """Returns an HTTP server for the backend server's calls."""
    return listener.listen(
        address,
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
    )
