"""Stand-in of the platform's metadata store, in the form of a log.

It has records of keyed topics, producers with epochs and sequence numbers,
long polls and consumer groups.
"""

import asyncio
import base64
import collections
import struct

from egretthread_standins.platformsite import web

ANSWER_S = 0.004
SLOW_S = 0.6
APPEND_S = 0.002
REMEMBERED_APPENDS = 5
PAGE_RECORDS = 500


class Partition:
    """The records of one partition of a keyed topic.

    Attributes:
        records: Key and value of each record; the value is None to delete.
        first: Offset of the first record that can be read.
        producers: Epoch, last sequence number, and answers and bodies of the
            last appends, by producer.
    """

    def __init__(self):
        self.records: list[tuple[str, bytes | None]] = []
        self.first = 0
        self.producers: dict[str, tuple[int, int, dict]] = {}

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns the offset and value of the newest record of each key."""
        found = {}
        for offset, (key, value) in enumerate(self.records):
            found.pop(key, None)
            if value is not None:
                found[key] = (offset, value)
        return found


class Group:
    """One consumer group.

    Attributes:
        generation: Increases with each change of the members.
        members: When the last join of each member arrived, and its ttl.
        owner: The member that holds each partition; the name is empty if
            nobody holds it.
        target: The member that shall hold each partition.
    """

    def __init__(self, parts: int):
        self.generation = 0
        self.members: dict[str, tuple[float, float]] = {}
        self.owner = dict.fromkeys(range(parts), "")
        self.target = dict.fromkeys(range(parts), "")

    def balance(self) -> None:
        """Distributes the partitions evenly and moves as few as possible."""
        self.generation += 1
        names = sorted(self.members)
        counts = dict.fromkeys(names, 0)
        size, extra = divmod(len(self.target), max(1, len(names)))
        loose = []
        for part, name in self.target.items():
            limit = size + (1 if extra > 0 else 0)
            if name in counts and counts[name] < limit:
                counts[name] += 1
                extra -= counts[name] > size
            else:
                loose.append(part)
        for part in loose:
            name = min(names, key=lambda each: counts[each], default="")
            if name:
                counts[name] += 1
            self.target[part] = name
        for part, name in self.owner.items():
            if name not in self.members:
                self.owner[part] = self.target[part]

    def reassign(self) -> None:
        """Gives each partition to the next member, whoever holds it now."""
        self.generation += 1
        names = sorted(self.members)
        for part, name in self.target.items():
            if name in names:
                after = names[(names.index(name) + 1) % len(names)]
                self.target[part] = self.owner[part] = after


class Store:
    """The store.

    Each machine reaches it at an address of its own, so that the link of one
    machine can be disturbed.

    Attributes:
        parts: Number of partitions of a topic.
        topics: The partitions by topic and number.
        groups: The consumer groups by name.
        modes: By machine: empty if the store serves it; `busy` answers 503 and
            does nothing; `silent` neither executes nor answers; `lost`
            executes and does not answer; `slow` answers late; `reset` closes
            the connection.
        is_down: Whether the store is down for all; it then answers 503, and
            the times of the groups pause.
        servers: The HTTP servers by machine.
        log: Called with each event.
    """

    def __init__(self, parts: int, log):
        self.parts = parts
        self.topics = collections.defaultdict(Partition)
        self.groups = collections.defaultdict(lambda: Group(parts))
        self.modes = collections.defaultdict(str)
        self.is_down = False
        self.servers: dict[str, web.Server] = {}
        self.log = log
        self.changed = asyncio.Event()
        self.group_s = 0.0
        self.task: asyncio.Task | None = None

    async def listen(self, machine: str, host: str, port: int) -> None:
        """Listens for one machine."""

        async def handle(request: web.Request):
            return await self._handle(machine, request)

        self.servers[machine] = web.Server(handle)
        await self.servers[machine].start(host, port)
        if self.task is None:
            self.task = asyncio.create_task(self._expire_members())

    async def close(self) -> None:
        """Closes all servers."""
        if self.task:
            self.task.cancel()
        for server in self.servers.values():
            await server.close()

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Writes a record as the operator."""
        self._append(f"keyed.{topic}", 0, [(key, value)])

    def forget(self, topic: str) -> None:
        """Deletes the history; the newest record of each key is retained."""
        partition = self.topics[f"keyed.{topic}", 0]
        partition.first = len(partition.records)

    def reassign(self) -> None:
        """Reassigns all partitions of all groups at once."""
        for group in self.groups.values():
            group.reassign()

    def owner(self, part: int) -> str:
        """Returns the member that holds a partition of the jobs."""
        for group in self.groups.values():
            return group.owner[part]
        return ""

    def _append(self, topic: str, part: int, records: list) -> int:
        partition = self.topics[topic, part]
        partition.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return len(partition.records)

    async def _expire_members(self) -> None:
        """Removes members that have sent nothing for their ttl."""
        while True:
            await asyncio.sleep(0.02)
            if self.is_down:
                continue
            self.group_s += 0.02
            for group in self.groups.values():
                gone = [
                    name
                    for name, (at_s, ttl_s) in group.members.items()
                    if self.group_s - at_s > ttl_s
                ]
                for name in gone:
                    del group.members[name]
                if gone:
                    group.balance()
                    self.log("store", "members expired", names=gone)

    async def _handle(self, machine: str, request: web.Request):
        mode = self.modes[machine]
        if mode == "silent":
            raise web.Lost
        if mode == "reset":
            raise ConnectionResetError
        if mode == "slow":
            await asyncio.sleep(SLOW_S)
        await asyncio.sleep(ANSWER_S)
        if self.is_down or mode == "busy":
            return 503, {}
        name = request.path.removeprefix("/log-")
        answer = await getattr(self, f"_on_{name}")(machine, request)
        if self.is_down or self.modes[machine] not in ("", "slow"):
            # It has been executed, so that 503 would not be true.
            raise web.Lost
        return answer

    async def _on_append(self, machine: str, request: web.Request):
        await asyncio.sleep(APPEND_S)
        query = request.query
        topic, part = query["topic"], int(query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records = _decode_records(request.body)
        partition = self.topics[topic, part]
        producer = query.get("producer")
        if producer is None:
            begin = len(partition.records)
            end = self._append(topic, part, records)
            return 200, {"offset": begin, "end_offset": end}
        epoch, number = int(query["epoch"]), int(query["sequence"])
        last_epoch, last, answers = partition.producers.get(
            producer, (-1, -1, {})
        )
        if epoch < last_epoch:
            return 409, {"reason": "fenced"}
        if epoch == last_epoch:
            place = {"topic": topic, "part": part, "epoch": epoch}
            if number in answers:
                if records:
                    self.log(
                        "store",
                        "append repeats a sequence number",
                        **place,
                        sequence=number,
                        is_same=answers[number][1] == request.body,
                    )
                return 200, answers[number][0]
            if number != last + 1:
                self.log(
                    "store",
                    "append out of order",
                    **place,
                    sequence=number,
                    expected=last + 1,
                )
                return 409, {"reason": "seq", "sequence": last + 1}
        else:
            answers = {}
        begin = len(partition.records)
        end = self._append(topic, part, records) if records else begin
        answer = {"offset": begin, "end_offset": end}
        answers[number] = (answer, request.body)
        while len(answers) > REMEMBERED_APPENDS:
            del answers[min(answers)]
        partition.producers[producer] = (epoch, number, answers)
        return 200, answer

    async def _on_read(self, machine: str, request: web.Request):
        query = request.query
        partition = self.topics[query["topic"], int(query["part"])]
        begin = int(query["from"])
        end_s = request.started_s + int(query.get("wait_ms", "0")) / 1000
        if begin < partition.first:
            return 410, {"first_offset": partition.first}
        loop = asyncio.get_running_loop()
        while len(partition.records) <= begin and loop.time() < end_s:
            if self.is_down or self.modes[machine]:
                break
            try:
                async with asyncio.timeout(min(0.2, end_s - loop.time())):
                    await self.changed.wait()
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(partition.records), partition.first)
        for key, value in partition.records[begin:]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, body

    async def _on_newest(self, machine: str, request: web.Request):
        query = request.query
        partition = self.topics[query["topic"], int(query["part"])]
        after = query.get("after", "")
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(partition.newest().items())
            if key > after
        ]
        return 200, {
            "items": items[:PAGE_RECORDS],
            "has_more": len(items) > PAGE_RECORDS,
            "end_offset": len(partition.records),
        }

    async def _on_join(self, machine: str, request: web.Request):
        table = request.table()
        group = self.groups[table["group"]]
        member, topic = table["member"], table["topics"][0]
        is_new = member not in group.members
        group.members[member] = (self.group_s, table["ttl_ms"] / 1000)
        if is_new:
            group.balance()
            self.log(
                "store",
                "member joined",
                member=member,
                generation=group.generation,
            )
        if table["generation"] >= group.generation:
            for part, owner in group.owner.items():
                if owner == member and group.target[part] != member:
                    group.owner[part] = group.target[part]
        rows = [
            [topic, part, 0]
            for part, owner in group.owner.items()
            if owner == member and group.target[part] == member
        ]
        return 200, {"generation": group.generation, "parts": rows}

    async def _on_leave(self, machine: str, request: web.Request):
        table = request.table()
        group = self.groups[table["group"]]
        if group.members.pop(table["member"], None):
            group.balance()
            self.log("store", "member left", member=table["member"])
        return 200, {}


def _decode_records(body: bytes) -> list[tuple[str, bytes | None]]:
    """Returns keys and values of the records in the body of an append."""
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        content = body[position : position + length]
        position += length
        end = 1 + content[0]
        records.append((content[1:end].decode(), content[end:] or None))
    return records
