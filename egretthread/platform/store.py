"""Client of the platform's store, which holds keyed topics in its log."""

import base64
import collections
import contextlib
import struct
import urllib.parse
from collections.abc import Sequence

import orjson

from egretthread import backendpool, clock, logs
from egretthread.httpconnection import Response
from egretthread.scheduling.storecall import (
    Appended,
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

# Topics with this prefix are compacted: the newest record of each key is kept.
KEYED_PREFIX = "keyed."
# Header of the response to a read: the partition's end offset and the offset
# of its first record.
READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
# Response timeout, in addition to the requested long-poll wait. The store
# normally answers within a few ms, so a connection that is silent for longer
# is treated as dead.
TIMEOUT_S = 0.8
MAX_CONNECTIONS = 24
# Long polls have connections of their own, so that they never delay other
# requests. Each partition has one follower, which sends one at a time.
MAX_POLL_CONNECTIONS = 1000
MAX_IDLE_S = 60.0
MAX_BODY_BYTES = 4 * 2**20
MAX_READ_KB = 1024
RAW_HEADERS = {"Content-Type": "application/octet-stream"}
JSON_HEADERS = {"Content-Type": "application/json"}
# Rate limit reached, store down, or store full. The request had no effect.
REFUSED_CODES = (429, 503, 507)
# Errors in decoding a response that is not in the documented format.
DECODE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
    struct.error,
)
# All coordinators share one producer name, so that the store fences an older
# coordinator by its epoch.
PRODUCER = "coordinator"


class Store:
    """Client of the platform's store.

    Attributes:
        pool: Connections to the store.
        poll_pool: Connections for reads, which may wait for a record.
        samples: Receives the duration of each request, as (metric, seconds,
            call, result).
    """

    def __init__(self, address: str, samples: collections.deque):
        self.samples = samples
        url = f"http://{address}"
        self.pool = backendpool.ConnectionPool(
            url,
            MAX_CONNECTIONS,
            MAX_BODY_BYTES,
            MAX_IDLE_S,
            closes_idle=True,
        )
        self.poll_pool = backendpool.ConnectionPool(
            url,
            MAX_POLL_CONNECTIONS,
            MAX_BODY_BYTES,
            MAX_IDLE_S,
            closes_idle=True,
        )

    def close(self) -> None:
        """Closes the connections."""
        self.pool.close()
        self.poll_pool.close()

    async def newest(
        self, topic: str, partition: int = 0, timeout_s: float = TIMEOUT_S
    ) -> Batch:
        """Returns the newest record of each key of a partition.

        Args:
            topic: The topic.
            partition: The partition.
            timeout_s: Timeout of each of the requests that this takes.

        A record that is written during the call may be missing. Reading from
        the end offset of the batch returns it.

        Raises:
            StoreUnavailableError: The store did not answer or refused the
                request.
        """
        records: list[Record] = []
        end = None
        after = None
        while True:
            page, page_end, has_more = await self._page(
                topic, partition, after, timeout_s
            )
            records += page
            end = page_end if end is None else end
            if not has_more:
                return Batch(tuple(records), end)
            after = page[-1].key

    async def find(self, topic: str, partition: int, key: str) -> bytes | None:
        """Returns the newest value of one key, or None if there is none.

        Raises:
            StoreUnavailableError: The store did not answer or refused the
                request.
        """
        value, _ = await self.find_newest(topic, partition, key)
        return value

    async def find_newest(
        self, topic: str, partition: int, key: str
    ) -> tuple[bytes | None, int]:
        """Returns the newest value of one key, and the partition's end.

        Raises:
            StoreUnavailableError: The store did not answer or refused the
                request.
        """
        # The store lists keys in order, starting after the given one. The key
        # without its last character sorts before the key itself.
        page, end, _ = await self._page(topic, partition, key[:-1])
        values = [record.value for record in page if record.key == key]
        return (values[0] if values else None), end

    async def _page(
        self,
        topic: str,
        partition: int,
        after: str | None,
        timeout_s: float = TIMEOUT_S,
    ) -> tuple[list[Record], int, bool]:
        """Returns one page of the newest records.

        Args:
            topic: The topic.
            partition: The partition.
            after: Key after which the page starts; None for the first page.
            timeout_s: Timeout of the request.

        Returns:
            The records, the partition's end offset, and whether there are
            more pages.
        """
        query = {"topic": KEYED_PREFIX + topic, "part": partition}
        if after is not None:
            query["after"] = after
        response = await self.call(
            "GET", "/log-newest", query, timeout_s=timeout_s
        )
        with _decoding("/log-newest"):
            table = orjson.loads(response.body)
            page = [
                Record(item["key"], base64.b64decode(item["value"]))
                for item in table["items"]
            ]
            return page, table["end_offset"], table["has_more"]

    async def read(
        self, topic: str, offset: int, wait_s: float, partition: int = 0
    ) -> Batch:
        """Returns the records of a partition, starting at an offset.

        Args:
            topic: The topic.
            offset: Offset of the first record to read.
            wait_s: How long to wait for a record if there is none yet.
            partition: The partition.

        Raises:
            StoreUnavailableError: The store did not answer or refused the
                request.
            HistoryGoneError: Records at this offset were deleted.
        """
        query = {
            "topic": KEYED_PREFIX + topic,
            "part": partition,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        response = await self.call(
            "GET",
            "/log-read",
            query,
            timeout_s=TIMEOUT_S + wait_s,
            pool=self.poll_pool,
        )
        with _decoding("/log-read"):
            return decode_batch(response.body, offset)

    async def write(self, topic: str, record: Record) -> None:
        """Appends one record to a keyed topic.

        Raises:
            StoreUnavailableError: The store did not answer or refused the
                request. The record may have been written.
        """
        await self.append(topic, 0, (record,))

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[Record],
        writer: Writer | None = None,
    ) -> Appended | None:
        """Appends records atomically to a partition of a keyed topic.

        Args:
            topic: The topic.
            partition: The partition.
            records: The records. An empty sequence only registers the
                writer's epoch.
            writer: Epoch and sequence number of the append; None to append
                without fencing.

        Returns:
            The offsets of the records; None without records. A repeated epoch
            and sequence number returns those of the first append with them.

        Raises:
            StoreRefusedError: Nothing was written.
            StoreUnavailableError: The records may have been written.
            AppendOrderError: Another sequence number was expected.
            FencedError: A writer with a higher epoch has appended.
        """
        query: dict = {"topic": KEYED_PREFIX + topic, "part": partition}
        if writer is not None:
            query["producer"] = PRODUCER
            query["epoch"] = writer.epoch
            query["sequence"] = writer.number
        body = b"".join(encode_record(record) for record in records)
        response = await self.call("POST", "/log-append", query, body)
        if not records:
            return None
        with _decoding("/log-append"):
            table = orjson.loads(response.body)
            return Appended(int(table["offset"]), int(table["end_offset"]))

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment:
        """Joins a consumer group or renews the membership in it.

        The members of a group share the partitions of a topic.

        Args:
            group: The group.
            member: Name of this member.
            topic: The topic.
            ttl_s: Time without a renewal after which the member's partitions
                are assigned to others.
            generation: The last generation received.

        Raises:
            StoreUnavailableError: The store did not answer or refused the
                request.
        """
        table = {
            "group": group,
            "member": member,
            "topics": [KEYED_PREFIX + topic],
            "ttl_ms": int(ttl_s * 1000),
            "generation": generation,
        }
        response = await self.call("POST", "/log-join", body=_json(table))
        with _decoding("/log-join"):
            assigned = orjson.loads(response.body)
            # Each row holds a topic, a partition and its committed offset.
            partitions = tuple(
                row[1]
                for row in assigned["parts"]
                if row[0] == KEYED_PREFIX + topic
            )
            return Assignment(assigned["generation"], partitions)

    async def leave(self, group: str, member: str) -> None:
        """Leaves a consumer group.

        Raises:
            StoreUnavailableError: The store did not answer or refused the
                request.
        """
        table = {"group": group, "member": member}
        await self.call("POST", "/log-leave", body=_json(table))

    async def call(
        self,
        method: str,
        path: str,
        query: dict | None = None,
        body: bytes = b"",
        timeout_s: float = TIMEOUT_S,
        pool: backendpool.ConnectionPool | None = None,
    ) -> Response:
        """Sends a request and returns the response if it succeeded.

        Args:
            method: HTTP method.
            path: Path of the call.
            query: Parameters of the query.
            body: The body.
            timeout_s: Timeout of the request.
            pool: The connections to use; None for those of short requests.

        Raises:
            StoreError: The request failed; see the callers above for the
                classes.
        """
        query = query or {}
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        headers = RAW_HEADERS if query else JSON_HEADERS
        started_s = clock.monotonic_s()
        result = "lost"
        try:
            response = await (pool or self.pool).request(
                target, body, timeout_s, method, headers
            )
            result = str(response.code)
        except OSError as error:
            raise StoreUnavailableError(
                f"no response to {path}: {type(error).__name__} {error}",
                "retry later",
            ) from error
        finally:
            took_s = clock.monotonic_s() - started_s
            call = path.removeprefix("/log-")
            self.samples.append(("store_seconds", took_s, call, result))
            if result == "lost":
                logs.info(
                    "store_request_lost",
                    call=call,
                    topic=query.get("topic", ""),
                    part=query.get("part", ""),
                    took_s=took_s,
                    idle_connections=len(self.pool.idle),
                )
        if response.code == 410:
            raise HistoryGoneError(
                f"{path}: records from offset {query.get('from')} were deleted",
                "read the newest record of each key",
            )
        if response.code == 409:
            raise _conflict(path, response.body)
        if response.code in REFUSED_CODES:
            raise StoreRefusedError(
                f"{path} failed with status {response.code}", "retry later"
            )
        if response.code != 200:
            raise StoreUnavailableError(
                f"{path} failed with status {response.code}", "retry later"
            )
        return response


def _conflict(path: str, body: bytes) -> StoreError:
    """Returns the error for an append with a wrong epoch or sequence number.

    Raises:
        StoreUnavailableError: The body is malformed.
    """
    with _decoding(path):
        table = dict(orjson.loads(body))
    if table.get("reason") == "seq":
        return AppendOrderError(
            f"{path}: the store expects another sequence number",
            "continue with the expected sequence number",
            table.get("sequence", 0),
        )
    return FencedError(
        f"{path}: a coordinator with a higher epoch has appended",
        "stop writing to this partition",
    )


@contextlib.contextmanager
def _decoding(path: str):
    """Reports a malformed response as a store that did not answer."""
    try:
        yield
    except DECODE_ERRORS as error:
        raise StoreUnavailableError(
            f"the response to {path} is malformed: {error!r}",
            "check what listens at the store's address",
        ) from error


def _json(table: dict) -> bytes:
    return orjson.dumps(table)


def encode_record(record: Record) -> bytes:
    """Returns a record of a keyed topic with a length prefix."""
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return RECORD_LENGTH.pack(len(content)) + content


def decode_batch(body: bytes, offset: int) -> Batch:
    """Returns the records in the response to a read from an offset.

    Raises:
        struct.error: The body is too short to be a response.
    """
    log_end, _ = READ_HEADER.unpack_from(body)
    position = READ_HEADER.size
    records = []
    while position + RECORD_LENGTH.size <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        content = body[position : position + length]
        position += length
        records.append(_decode_record(content))
    end = offset + len(records)
    return Batch(tuple(records), end, end < log_end)


def _decode_record(content: bytes) -> Record:
    if not content:
        return Record("", None)
    end = 1 + content[0]
    key = content[1:end].decode(errors="replace")
    return Record(key, content[end:] or None)
