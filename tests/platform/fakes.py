"""The platform's store and a backend server over HTTP, on loopback."""

import asyncio
import base64
import collections
import json
import struct
import time

import tornado.httpserver
import tornado.netutil
import tornado.web

from egretthread.platform import servers
from egretthread.platform.store import LENGTH, Entry, encode_record
from egretthread.scheduling.agentboard import Run, StartCall, StopCall
from egretthread.scheduling.room import Room
from egretthread.scheduling.servercall import LookCall, Verdict
from tests.scheduling.fakeserver import FakeServer

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "lookups.example",
            "path_prefix": "/p/",
            "type": "unsafe",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": "match",
            "max_attempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [],
    "limits": {"max_body_bytes": 10_000},
}


def listen(handlers):
    """Returns an HTTP server and its address."""
    application = tornado.web.Application(
        handlers, log_function=lambda handler: None
    )
    http = tornado.httpserver.HTTPServer(application)
    sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
    http.add_sockets(sockets)
    return http, f"127.0.0.1:{sockets[0].getsockname()[1]}"


class FakeStore:
    """Keyed topics, which may be out, lose answers or forget.

    Attributes:
        mode: What is done to calls: empty, `busy` or `silent`.
        records: Records by topic, None where forgotten.
    """

    def __init__(self):
        self.mode = ""
        self.records = collections.defaultdict(list)
        self.first = collections.defaultdict(int)
        self.changed = asyncio.Event()
        self.calls = collections.Counter()
        self.http, self.address = listen(
            [
                (r"/log-(append|read|newest)", StoreHandler, {"store": self}),
            ]
        )

    def put(self, topic, key, value):
        """Writes a record; a value of None drops the key."""
        data = None if value is None else json.dumps(value).encode()
        self.write(topic, Entry(key, data))

    def write(self, topic, entry):
        self.records[topic].append(entry)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self, topic):
        """Deletes the history, but not the newest record of each key."""
        self.first[topic] = len(self.records[topic])

    def newest(self, topic):
        found = {}
        for offset, entry in enumerate(self.records[topic]):
            found.pop(entry.key, None)
            if entry.value is not None:
                found[entry.key] = (offset, entry.value)
        return found

    async def close(self):
        self.http.stop()
        await self.http.close_all_connections()


class StoreHandler(tornado.web.RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls[self.request.path] += 1
        if self.store.mode == "busy":
            self.set_status(503)
            self.finish()
        elif self.store.mode == "silent":
            await asyncio.sleep(30)

    async def get(self, verb):
        topic = self.get_argument("topic")
        if verb == "newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in self.store.newest(topic).items()
            ]
            end = len(self.store.records[topic])
            self.finish({"items": items, "has_more": False, "end_offset": end})
            return
        offset = int(self.get_argument("from"))
        wait_s = int(self.get_argument("wait_ms", "0")) / 1000
        if offset < self.store.first[topic]:
            self.set_status(410)
            self.finish({"first_offset": self.store.first[topic]})
            return
        if offset >= len(self.store.records[topic]) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        records = self.store.records[topic]
        span = struct.pack(">QQ", len(records), self.store.first[topic])
        rows = b"".join(encode_record(entry) for entry in records[offset:])
        self.finish(span + rows)

    def post(self, verb):
        body = self.request.body
        (length,) = LENGTH.unpack_from(body)
        content = body[LENGTH.size : LENGTH.size + length]
        end = 1 + content[0]
        entry = Entry(content[1:end].decode(), content[end:] or None)
        topic = self.get_argument("topic")
        self.store.write(topic, entry)
        end = len(self.store.records[topic])
        self.finish({"offset": end - 1, "end_offset": end})


class FakeBackendServer:
    """A backend server that takes orders over HTTP.

    Attributes:
        server: Its runs.
        room: What each task takes, by its job.
    """

    def __init__(self, name, work_s=0.1, cpu=8000):
        self.server = FakeServer(
            name, "a", cpu, time.monotonic(), lambda task: work_s
        )
        self.http, self.address = listen(
            [(r"/(run-start|run-stop|hold)", OrderHandler, {"fake": self})]
        )

    async def close(self):
        self.http.stop()
        await self.http.close_all_connections()


REASONS = {verdict: reason for reason, verdict in servers.REASONS.items()}


class OrderHandler(tornado.web.RequestHandler):
    def initialize(self, fake):
        self.server = fake.server

    async def post(self, verb):
        table = json.loads(self.request.body)
        target = self.request.headers.get(servers.INSTANCE_HEADER, "")
        token = table["fencing_token"]
        now_s = time.monotonic()
        if verb == "hold":
            await self._hold(table, target, token)
            return
        name = servers.decode_name(table["task"])
        if verb == "run-start":
            run = Run("", name, 0, "", Room(1000, 64, 0), 0.1, 0, 0.0)
            call = StartCall(
                run, table["run"], target, table["until_ms"], token, 1.0
            )
            result = self.server.start(call, now_s)
        else:
            call = StopCall(name, table["run"], target, token)
            result = self.server.stop(call, now_s)
        self._answer(result.verdict, {"clock_ms": result.clock_ms})

    async def _hold(self, table, target, token):
        call = LookCall(
            target,
            token,
            table["last_seen"],
            table.get("until_ms", 0),
            table.get("wait_ms", 0),
            0.0,
        )
        end_s = time.monotonic() + call.wait_ms / 1000
        while True:
            look = self.server.look(call, time.monotonic())
            if look.ended or time.monotonic() >= end_s:
                break
            await asyncio.sleep(0.005)
        rows = {
            "clock_ms": look.clock_ms,
            "born": look.born,
            "running": [
                [servers.encode_name(r.name), r.number, "", r.percent, 0]
                for r in look.running
            ],
            "ended": [
                [
                    r.sequence,
                    servers.encode_name(r.name),
                    r.number,
                    r.end.value,
                    "",
                ]
                for r in look.ended
            ],
        }
        self._answer(look.verdict, rows)

    def _answer(self, verdict, table):
        if verdict is Verdict.WRONG_INSTANCE:
            self.set_status(421)
        elif verdict in REASONS:
            self.set_status(409)
            table["reason"] = REASONS[verdict]
        self.finish(table)
