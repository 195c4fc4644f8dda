"""Client of the platform's store: keyed topics of its log."""

import base64
import collections
import struct
import urllib.parse
from collections.abc import Sequence

import orjson
from tornado import iostream

from egretthread import backendpool, clock
from egretthread.scheduling.storecall import (
    AppendOrderError,
    Assignment,
    Batch,
    FencedError,
    HistoryGoneError,
    Record,
    StoreError,
    StoreRefusedError,
    StoreUnavailableError,
    Writer,
)

# Begins the names of topics that keep the newest record of each key.
KEYED = "keyed."
# Offsets before the records of a read: the partition's end, its first record.
SPAN = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
# Time for an answer beyond the wait that was asked for. The store answers
# within a few ms; a connection that has gone silent is given up after this.
TIMEOUT_S = 0.8
# Connections: long polls of the partitions read, and some for other calls.
CONNECTIONS = 24
MAX_BODY_BYTES = 4 * 2**20
MAX_READ_KB = 1024
RAW_HEADERS = {"Content-Type": "application/octet-stream"}
JSON_HEADERS = {"Content-Type": "application/json"}
# The store is at its rate, down or full; it has done nothing.
REFUSED_CODES = (429, 503, 507)
# All coordinators write under one name, so that epochs order them.
PRODUCER = "coordinator"
LOST_ERRORS = (OSError, TimeoutError, iostream.StreamClosedError)


class Store:
    """The platform's store.

    Attributes:
        pool: Connections to it.
        samples: Takes the time of each call, as (metric, seconds, call,
            result).
    """

    def __init__(self, address: str, samples: collections.deque):
        self.samples = samples
        self.pool = backendpool.ConnectionPool(
            f"http://{address}",
            CONNECTIONS,
            MAX_BODY_BYTES,
            max_idle_s=60.0,
        )

    def close(self) -> None:
        """Closes the connections."""
        self.pool.close()

    async def newest(self, topic: str, part: int = 0) -> Batch:
        """Returns the newest record of each key of a partition.

        A record written meanwhile may be missing; reads from the batch's end
        on bring it.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
        """
        entries: list[Record] = []
        end = None
        after = None
        while True:
            page, page_end, has_more = await self._page(topic, part, after)
            entries += page
            end = page_end if end is None else end
            if not has_more:
                return Batch(tuple(entries), end)
            after = page[-1].key

    async def find(self, topic: str, part: int, key: str) -> bytes | None:
        """Returns the newest value of one key; None when there is none.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
        """
        # Keys come in order, and this prefix is right before the key.
        page, _, _ = await self._page(topic, part, key[:-1])
        values = [entry.value for entry in page if entry.key == key]
        return values[0] if values else None

    async def _page(
        self, topic: str, part: int, after: str | None
    ) -> tuple[list[Record], int, bool]:
        """Returns some newest records, the partition's end, if there is more.

        Args:
            topic: The topic.
            part: The partition.
            after: The key that they follow; None for the first ones.
        """
        query = {"topic": KEYED + topic, "part": part}
        if after is not None:
            query["after"] = after
        response = await self.call("GET", "/log-newest", query)
        table = orjson.loads(response.body)
        page = [
            Record(item["key"], base64.b64decode(item["value"]))
            for item in table["items"]
        ]
        return page, table["end_offset"], table["has_more"]

    async def read(
        self, topic: str, offset: int, wait_s: float, part: int = 0
    ) -> Batch:
        """Returns the records of a partition from an offset on.

        Args:
            topic: The topic.
            offset: Offset of the first record wanted.
            wait_s: How long to wait for a record when there is none.
            part: The partition.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
            HistoryGoneError: Records from the offset on were deleted.
        """
        query = {
            "topic": KEYED + topic,
            "part": part,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        response = await self.call("GET", "/log-read", query, wait_s=wait_s)
        return decode_batch(response.body, offset)

    async def write(self, topic: str, entry: Record) -> None:
        """Appends one record to a keyed topic.

        Raises:
            StoreUnavailableError: There was no answer, or a refusal; it may
                have been written.
        """
        await self.append(topic, 0, (entry,))

    async def append(
        self,
        topic: str,
        part: int,
        entries: Sequence[Record],
        writer: Writer | None = None,
    ) -> None:
        """Appends records to a partition of a keyed topic, all or none.

        Args:
            topic: The topic.
            part: The partition.
            entries: The records; none only makes the writer's epoch known.
            writer: Orders the append among those of others.

        Raises:
            StoreRefusedError: Nothing was written.
            StoreUnavailableError: It may have been written.
            FencedError: There was an append of a higher epoch.
        """
        query: dict = {"topic": KEYED + topic, "part": part}
        if writer is not None:
            query["producer"] = PRODUCER
            query["epoch"] = writer.epoch
            query["sequence"] = writer.number
        body = b"".join(encode_record(entry) for entry in entries)
        await self.call("POST", "/log-append", query, body)

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment:
        """Joins a group that shares a topic's partitions, or stays in it.

        Args:
            group: The group.
            member: Name of this member.
            topic: The topic.
            ttl_s: Silence after which the member's partitions are assigned
                to others.
            generation: The last one received.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
        """
        table = {
            "group": group,
            "member": member,
            "topics": [KEYED + topic],
            "ttl_ms": int(ttl_s * 1000),
            "generation": generation,
        }
        response = await self.call("POST", "/log-join", body=_json(table))
        answer = orjson.loads(response.body)
        # Each row is topic, partition and committed offset.
        parts = tuple(
            row[1] for row in answer["parts"] if row[0] == KEYED + topic
        )
        return Assignment(answer["generation"], parts)

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
        """
        table = {"group": group, "member": member}
        await self.call("POST", "/log-leave", body=_json(table))

    async def call(
        self,
        method: str,
        path: str,
        query: dict | None = None,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> backendpool.Response:
        """Sends one call and returns its answer if it was carried out."""
        query = query or {}
        where = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        headers = RAW_HEADERS if query else JSON_HEADERS
        begin_s = clock.monotonic_s()
        result = "lost"
        try:
            response = await self.pool.request(
                where, body, TIMEOUT_S + wait_s, method, headers
            )
            result = str(response.code)
        except LOST_ERRORS as error:
            raise StoreUnavailableError(
                f"no answer to {path}: {type(error).__name__} {error}",
                "ask again later",
            ) from error
        finally:
            took_s = clock.monotonic_s() - begin_s
            call = path.removeprefix("/log-")
            self.samples.append(("store_seconds", took_s, call, result))
        if response.code == 410:
            raise HistoryGoneError(
                f"{path} from {query.get('from')}: deleted",
                "read the newest record of each key",
            )
        if response.code == 409:
            raise _conflict(path, response.body)
        if response.code in REFUSED_CODES:
            raise StoreRefusedError(
                f"{path} answered {response.code}", "ask again later"
            )
        if response.code != 200:
            raise StoreUnavailableError(
                f"{path} answered {response.code}", "ask again later"
            )
        return response


def _conflict(path: str, body: bytes) -> StoreError:
    """Returns why an append was refused for its epoch or its number."""
    table = orjson.loads(body)
    if table.get("reason") == "seq":
        return AppendOrderError(
            f"{path}: another number is due",
            "go on from the expected number",
            table.get("sequence", 0),
        )
    return FencedError(
        f"{path}: a later coordinator has begun",
        "leave the partition to it",
    )


def _json(table: dict) -> bytes:
    return orjson.dumps(table)


def encode_record(entry: Record) -> bytes:
    """Returns a record of a keyed topic with its length before it."""
    key = entry.key.encode()
    content = bytes([len(key)]) + key + (entry.value or b"")
    return LENGTH.pack(len(content)) + content


def decode_batch(body: bytes, offset: int) -> Batch:
    """Returns the records in the answer to a read from an offset."""
    place = SPAN.size
    entries = []
    while place + LENGTH.size <= len(body):
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        content = body[place : place + length]
        place += length
        entries.append(_decode_entry(content))
    return Batch(tuple(entries), offset + len(entries))


def _decode_entry(content: bytes) -> Record:
    if not content:
        return Record("", None)
    end = 1 + content[0]
    key = content[1:end].decode(errors="replace")
    return Record(key, content[end:] or None)
