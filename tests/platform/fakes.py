"""Fakes of the platform's store and of a backend server, over HTTP."""

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
from egretthread.platform.store import (
    KEYED_PREFIX,
    READ_HEADER,
    decode_batch,
    encode_record,
)
from egretthread.scheduling.agentboard import Run, StartCall, StopCall
from egretthread.scheduling.room import Room
from egretthread.scheduling.servercall import PollCall, Verdict
from egretthread.scheduling.storecall import Record
from tests.scheduling.fakeserver import FakeServer

PARTITIONS = 12
# Appends of a partition whose repetition is recognised.
REMEMBERED_APPENDS = 5
# Records in one page of the newest records of a partition.
PAGE_RECORDS = 3
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
    """Keyed topics with outages, lost responses and deleted history.

    Attributes:
        mode: How requests are handled: normally if empty; `busy` refuses them;
            `silent` neither executes nor answers them; `lost` executes them
            and does not answer; `garbage` answers with a body that is none.
        garbage_count: Number of such answers.
        append_delay_s: Time until an append that was executed is answered.
        counts_empty_appends: Whether an append without records takes a
            sequence number; otherwise it only begins the epoch, and numbers
            continue from those of the epoch before.
        repeated_answers: Number of next fenced appends that are answered like
            the one before, and not executed.
        records: Records by topic and partition.
        first: Offset of the first record that has not been deleted.
        appends: Epoch of the last fenced append, and the answers to the last
            ones by epoch and sequence number.
        members: Time at which each member of the group last joined.
        generation: Number of changes of the group's membership.
        streams: Connections on which a request has arrived.
    """

    def __init__(self):
        self.mode = ""
        self.garbage_count = 0
        self.append_delay_s = 0.0
        self.counts_empty_appends = True
        self.repeated_answers = 0
        self.records = collections.defaultdict(list)
        self.first = collections.defaultdict(int)
        self.appends = {}
        self.members = {}
        self.generation = 0
        self.changed = asyncio.Event()
        self.calls = collections.Counter()
        self.streams = set()
        self.http, self.address = listen(
            [
                (r"/log-(append|read|newest)", StoreHandler, {"store": self}),
                (r"/log-(join|leave)", GroupHandler, {"store": self}),
            ]
        )

    def put(self, topic, key, value):
        """Writes a record; a value of None deletes the key."""
        data = None if value is None else json.dumps(value).encode()
        self.write(topic, Record(key, data))

    def write(self, topic, record, partition=0):
        self.records[topic, partition].append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def delete_history(self, topic, partition=0):
        """Deletes all records except the newest one of each key."""
        self.first[topic, partition] = len(self.records[topic, partition])

    async def fill(self, client):
        """Makes a client keep many idle connections."""
        calls = [client.newest("other") for _ in range(30)]
        reads = [client.read("other", 0, 0.1) for _ in range(30)]
        await asyncio.gather(*calls, *reads)

    def mute(self):
        """Makes the open connections silent for good; new ones work."""
        for stream in self.streams:
            stream.write = lambda data: asyncio.Future()
        self.streams.clear()

    def newest(self, topic, partition=0):
        found = {}
        for offset, record in enumerate(self.records[topic, partition]):
            found.pop(record.key, None)
            if record.value is not None:
                found[record.key] = (offset, record.value)
        return found

    def append(self, topic, partition, records, writer=None):
        """Appends records unless they are repeated or refused.

        Args:
            topic: The topic.
            partition: The partition.
            records: The records.
            writer: Epoch and sequence number; None for an append without.

        Returns:
            The status and the body of the answer.
        """
        key = topic, partition
        begin = len(self.records[key])
        answer = {"offset": begin, "end_offset": begin + len(records)}
        if writer is not None:
            last_epoch, answers = self.appends.get(key, (0, {}))
            epoch, number = writer
            if epoch < last_epoch:
                return 409, {"reason": "fenced"}
            if writer in answers:
                return 200, answers[writer]
            if not records and not self.counts_empty_appends:
                self.appends[key] = epoch, answers
                return 200, answer
            if answers and epoch == last_epoch:
                _, last = next(reversed(answers))
                if number != last + 1:
                    return 409, {"reason": "seq", "sequence": last + 1}
            if records and self.repeated_answers:
                self.repeated_answers -= 1
                return 200, next(reversed(answers.values()))
            answers[writer] = answer
            while len(answers) > REMEMBERED_APPENDS:
                del answers[next(iter(answers))]
            self.appends[key] = epoch, answers
        for record in records:
            self.write(topic, record, partition)
        return 200, answer

    def partitions_of(self, member):
        """Returns the partitions assigned to a member."""
        names = sorted(self.members)
        return [
            partition
            for partition in range(PARTITIONS)
            if names[partition % len(names)] == member
        ]

    async def close(self):
        self.http.stop()
        await self.http.close_all_connections()


class ModeHandler(tornado.web.RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls[self.request.path] += 1
        self.store.streams.add(self.request.connection.stream)
        if self.store.mode == "garbage":
            self.store.garbage_count += 1
            self.finish((b"[]", b"{", b"{}")[self.store.garbage_count % 3])
        elif self.store.mode == "busy":
            self.set_status(503)
            self.finish()
        elif self.store.mode == "silent":
            await asyncio.sleep(30)

    async def answer(self, table):
        if self.store.mode == "lost":
            await asyncio.sleep(30)
        self.finish(table)


class GroupHandler(ModeHandler):
    async def post(self, verb):
        table = json.loads(self.request.body)
        store, member = self.store, table["member"]
        if verb == "leave":
            store.members.pop(member, None)
            store.generation += 1
            await self.answer({})
            return
        if member not in store.members:
            store.generation += 1
        store.members[member] = time.monotonic()
        rows = [[table["topics"][0], n, 0] for n in store.partitions_of(member)]
        await self.answer({"generation": store.generation, "parts": rows})


class StoreHandler(ModeHandler):
    async def get(self, verb):
        topic = self.get_argument("topic").removeprefix(KEYED_PREFIX)
        key = (topic, int(self.get_argument("part")))
        if verb == "newest":
            after = self.get_argument("after", "")
            items = [
                {
                    "key": name,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for name, (offset, value) in sorted(
                    self.store.newest(*key).items()
                )
                if name > after
            ]
            end = len(self.store.records[key])
            page = items[:PAGE_RECORDS]
            has_more = len(items) > PAGE_RECORDS
            self.finish(
                {"items": page, "has_more": has_more, "end_offset": end}
            )
            return
        self.store.calls["read", *key] += 1
        offset = int(self.get_argument("from"))
        wait_s = int(self.get_argument("wait_ms", "0")) / 1000
        if offset < self.store.first[key]:
            self.set_status(410)
            self.finish({"first_offset": self.store.first[key]})
            return
        end_s = time.monotonic() + wait_s
        while offset >= len(self.store.records[key]):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        records = self.store.records[key]
        header = struct.pack(">QQ", len(records), self.store.first[key])
        rows = b"".join(encode_record(record) for record in records[offset:])
        self.finish(header + rows)

    async def post(self, verb):
        topic = self.get_argument("topic").removeprefix(KEYED_PREFIX)
        partition = int(self.get_argument("part"))
        epoch = self.get_argument("epoch", "")
        body = READ_HEADER.pack(0, 0) + self.request.body
        code, answer = self.store.append(
            topic,
            partition,
            decode_batch(body, 0).records,
            (int(epoch), int(self.get_argument("sequence"))) if epoch else None,
        )
        self.set_status(code)
        await asyncio.sleep(self.store.append_delay_s)
        await self.answer(answer)


class FakeBackendServer:
    """A backend server that is controlled over HTTP.

    Attributes:
        server: Simulated backend server that holds the runs.
    """

    def __init__(self, name, work_s=0.1, cpu=8000):
        self.server = FakeServer(
            name, "a", cpu, time.monotonic(), lambda task: work_s
        )
        self.http, self.address = listen(
            [(r"/(run-start|run-stop|hold)", CallHandler, {"fake": self})]
        )

    async def close(self):
        self.http.stop()
        await self.http.close_all_connections()


REASONS = {verdict: reason for reason, verdict in servers.REASONS.items()}


class CallHandler(tornado.web.RequestHandler):
    def initialize(self, fake):
        self.server = fake.server

    async def post(self, verb):
        table = json.loads(self.request.body)
        target = self.request.headers.get(servers.INSTANCE_HEADER, "")
        token = table["fencing_token"]
        now_s = time.monotonic()
        if verb == "hold":
            await self._poll(table, target, token)
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

    async def _poll(self, table, target, token):
        call = PollCall(
            target,
            token,
            table["last_seen"],
            table.get("until_ms", 0),
            table.get("wait_ms", 0),
            0.0,
        )
        end_s = time.monotonic() + call.wait_ms / 1000
        while True:
            result = self.server.poll(call, time.monotonic())
            if result.ended or time.monotonic() >= end_s:
                break
            await asyncio.sleep(0.005)
        rows = {
            "clock_ms": result.clock_ms,
            "born": result.started_unix_ms,
            "running": [
                [servers.encode_name(r.name), r.number, "", r.percent, 0]
                for r in result.running
            ],
            "ended": [
                [
                    r.sequence,
                    servers.encode_name(r.name),
                    r.number,
                    r.end.value,
                    "",
                ]
                for r in result.ended
            ],
        }
        self._answer(result.verdict, rows)

    def _answer(self, verdict, table):
        if verdict is Verdict.WRONG_INSTANCE:
            self.set_status(421)
        elif verdict in REASONS:
            self.set_status(409)
            table["reason"] = REASONS[verdict]
        self.finish(table)
