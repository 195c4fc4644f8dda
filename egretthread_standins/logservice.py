"""HTTP stand-in for the platform's append-only log service.

`POST /streams/NAME/records?expect=N` appends the body and returns
`{"offset": n}`, or 409 with `{"end": n}` when the stream's end is not N.
`GET /streams/NAME/records?from=N&wait=S` returns `{"first", "end",
"records"}`, or 410 when N is below the offset of the first retained record.
`POST /control` injects outages, delays and lost responses.
"""

import argparse
import asyncio
import collections
import dataclasses
import datetime
import json
import time
from collections.abc import Callable

import tornado.httpserver
import tornado.locks
import tornado.netutil
import tornado.web

HOST = "127.0.0.1"
MAX_BATCH_RECORDS = 1000
MAX_WAIT_S = 60.0


@dataclasses.dataclass(frozen=True)
class LogServiceSettings:
    """Settings of the log service.

    Attributes:
        port: TCP port on 127.0.0.1; 0 selects a free one.
        retention_s: Age at which a record expires.
        max_records: Maximum number of records retained per stream.
    """

    port: int = 0
    retention_s: float = 3600.0
    max_records: int = 100_000


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """One record of a stream.

    Attributes:
        offset: Position in the stream, from 0.
        stored_s: Time of the append, by the service's clock.
        data: The appended text.
    """

    offset: int
    stored_s: float
    data: str


@dataclasses.dataclass
class FaultPlan:
    """The faults that the service currently injects.

    Attributes:
        outage: Whether every request is answered with 503.
        delay_s: Delay before a request is handled.
        lose_answers: Number of next appends that are stored but get no
            response.
        lose_appends: Number of next appends that are neither stored nor
            answered.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_appends: int = 0

    def update(self, change: dict) -> None:
        """Sets the named fields.

        Raises:
            ValueError: A field is unknown or its value is negative.
        """
        for name, value in change.items():
            if name not in self.__dataclass_fields__ or value < 0:
                raise ValueError(
                    f"unknown fault or negative value: {name} = {value!r}"
                )
        for name, value in change.items():
            setattr(self, name, value)


class Stream:
    """The retained records of one stream.

    Attributes:
        end: Offset of the next record.
        records: The retained records, oldest first.
    """

    def __init__(self):
        self.end = 0
        self.records: collections.deque[StoredRecord] = collections.deque()

    @property
    def first(self) -> int:
        """Offset of the oldest retained record; the end if there is none."""
        return self.records[0].offset if self.records else self.end

    def append(self, data: str, now_s: float) -> int:
        """Stores a record and returns its offset."""
        offset = self.end
        self.records.append(StoredRecord(offset, now_s, data))
        self.end += 1
        return offset

    def expire(self, settings: LogServiceSettings, now_s: float) -> None:
        """Removes records beyond the retention by count and by age."""
        oldest_s = now_s - settings.retention_s
        while len(self.records) > settings.max_records:
            self.records.popleft()
        while self.records and self.records[0].stored_s < oldest_s:
            self.records.popleft()

    def read(self, start: int) -> list[StoredRecord]:
        """Returns the records from an offset on, at most one batch."""
        skip = max(0, start - self.first)
        stop = min(len(self.records), skip + MAX_BATCH_RECORDS)
        return [self.records[i] for i in range(skip, stop)]


class LogService:
    """The service's state and its HTTP server.

    `start` needs a running event loop. Streams survive `close`, so that
    `close` and a later `start` on the same port simulate a restart.

    Attributes:
        settings: The settings.
        faults: The faults that are currently injected.
        streams: The streams by name.
        changed: Notified of appends and faults, to wake long polls.
        port: The TCP port; chosen by `start` if it was 0.
        clock: Returns the time in seconds, for the retention by age.
    """

    def __init__(
        self,
        settings: LogServiceSettings = LogServiceSettings(),  # noqa: B008
        clock: Callable[[], float] = time.monotonic,
    ):
        self.settings = settings
        self.clock = clock
        self.faults = FaultPlan()
        self.streams: dict[str, Stream] = collections.defaultdict(Stream)
        self.changed = tornado.locks.Condition()
        self.port = settings.port
        self.server: tornado.httpserver.HTTPServer | None = None

    @property
    def url(self) -> str:
        """The service's base URL, once started."""
        return f"http://{HOST}:{self.port}"

    def start(self) -> None:
        """Binds the port and serves requests."""
        routes = [
            (r"/streams/([A-Za-z0-9._-]+)/records", RecordsHandler),
            (r"/control", ControlHandler),
        ]
        options = {"service": self}
        app = tornado.web.Application(
            [(path, handler, options) for path, handler in routes],
            log_function=lambda handler: None,
        )
        sockets = tornado.netutil.bind_sockets(self.port, HOST)
        self.port = sockets[0].getsockname()[1]
        self.server = tornado.httpserver.HTTPServer(app)
        self.server.add_sockets(sockets)

    async def close(self) -> None:
        """Stops listening, closes all connections and ends long polls."""
        server, self.server = self.server, None
        if server:
            server.stop()
            self.changed.notify_all()
            await server.close_all_connections()

    def stream(self, name: str) -> Stream:
        """Returns a stream without its expired records."""
        stream = self.streams[name]
        stream.expire(self.settings, self.clock())
        return stream

    def append(self, name: str, data: str) -> int:
        """Appends to a stream unconditionally and returns the offset."""
        stream = self.stream(name)
        offset = stream.append(data, self.clock())
        stream.expire(self.settings, self.clock())
        self.changed.notify_all()
        return offset

    def control(self, change: dict) -> None:
        """Changes the injected faults and wakes long polls.

        Raises:
            ValueError: The change names an unknown fault or has a negative
                value.
        """
        self.faults.update(change)
        self.changed.notify_all()


class RecordsHandler(tornado.web.RequestHandler):
    """Appends to and reads from one stream."""

    def initialize(self, service: LogService) -> None:
        """Sets the service."""
        self.service = service

    async def prepare(self) -> None:
        """Injects the delay and the outage."""
        await asyncio.sleep(self.service.faults.delay_s)
        if self.service.faults.outage:
            self.respond_outage()

    def respond_outage(self) -> None:
        """Sends a 503 response."""
        self.respond(503, {"error": "outage"})

    def respond(self, status: int, body: dict) -> None:
        """Sends a response with a JSON body."""
        self.set_status(status)
        self.finish(body)

    def close_unanswered(self) -> None:
        """Closes the connection without a response."""
        self.detach().close()

    def numeric_argument(self, name: str, default: str) -> float:
        """Returns a numeric query argument.

        Raises:
            tornado.web.HTTPError: The argument is not a number.
        """
        try:
            return float(self.get_query_argument(name, default))
        except ValueError as error:
            raise tornado.web.HTTPError(400) from error

    def post(self, name: str) -> None:
        """Appends a record."""
        faults = self.service.faults
        if faults.lose_appends:
            faults.lose_appends -= 1
            self.close_unanswered()
            return
        end = self.service.stream(name).end
        if self.numeric_argument("expect", str(end)) != end:
            self.respond(409, {"end": end})
            return
        offset = self.service.append(name, self.request.body.decode())
        if faults.lose_answers:
            faults.lose_answers -= 1
            self.close_unanswered()
            return
        self.respond(200, {"offset": offset})

    async def get(self, name: str) -> None:
        """Returns a batch of records, or waits for the first one."""
        start = int(self.numeric_argument("from", "0"))
        wait_s = min(self.numeric_argument("wait", "0"), MAX_WAIT_S)
        await self.wait_for_record(name, start, wait_s)
        if self.service.faults.outage:
            self.respond_outage()
            return
        stream = self.service.stream(name)
        span = {"first": stream.first, "end": stream.end}
        if start < stream.first:
            self.respond(410, span)
            return
        records = [
            {"offset": record.offset, "data": record.data}
            for record in stream.read(start)
        ]
        self.respond(200, span | {"records": records})

    async def wait_for_record(
        self, name: str, start: int, wait_s: float
    ) -> None:
        """Waits for a record, an outage, the close of the service or a timeout.

        Args:
            name: Name of the stream.
            start: Offset of the record.
            wait_s: Timeout.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while self.service.server and not self.service.faults.outage:
            remaining_s = until_s - loop.time()
            if self.service.stream(name).end > start or remaining_s <= 0:
                return
            await self.service.changed.wait(
                timeout=datetime.timedelta(seconds=remaining_s)
            )


class ControlHandler(tornado.web.RequestHandler):
    """Changes the faults that the service injects."""

    def initialize(self, service: LogService) -> None:
        """Sets the service."""
        self.service = service

    def post(self) -> None:
        """Sets the faults named in the JSON body and returns all of them."""
        try:
            self.service.control(json.loads(self.request.body))
        except (ValueError, TypeError, AttributeError) as error:
            self.set_status(400)
            self.finish({"error": str(error)})
            return
        self.finish(dataclasses.asdict(self.service.faults))


async def serve(settings: LogServiceSettings) -> None:
    """Runs the service until cancelled."""
    service = LogService(settings)
    service.start()
    print(f"listening {HOST}:{service.port}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await service.close()


def parse_settings(arguments: list[str] | None = None) -> LogServiceSettings:
    """Returns the settings given on the command line."""
    default = LogServiceSettings()
    parser = argparse.ArgumentParser(description="Log service stand-in.")
    parser.add_argument("--port", type=int, default=default.port)
    parser.add_argument(
        "--retention-s", type=float, default=default.retention_s
    )
    parser.add_argument("--max-records", type=int, default=default.max_records)
    return LogServiceSettings(**vars(parser.parse_args(arguments)))


def main() -> None:
    """Runs the log service stand-in."""
    try:
        asyncio.run(serve(parse_settings()))
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main()
