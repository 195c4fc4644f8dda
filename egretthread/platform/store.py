"""Client of the platform's store: keyed topics of its log."""

import base64
import dataclasses
import struct
import urllib.parse

import orjson
from tornado import iostream

from egretthread import backendpool, util

# Offsets before the records of a read: the partition's end, its first record.
SPAN = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
# Time for an answer beyond the wait that was asked for. The store answers
# within a few ms; a connection that has gone silent is given up after this.
TIMEOUT_S = 0.8
# Connections: one long poll, and one for everything else.
CONNECTIONS = 2
MAX_BODY_BYTES = 4 * 2**20
MAX_READ_KB = 1024
RAW_HEADERS = {"Content-Type": "application/octet-stream"}
LOST_ERRORS = (OSError, TimeoutError, iostream.StreamClosedError)


class StoreError(util.EgretthreadError):
    """The store did not do what it was asked to."""

    kind = "store"


class StoreUnavailableError(StoreError):
    """The store gave no answer, or refused; a write may have been done."""

    kind = "store_unavailable"


class HistoryGoneError(StoreError):
    """The records asked for have been deleted."""

    kind = "history_gone"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; None when the key is dropped.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Batch:
    """Part of a keyed topic.

    Attributes:
        entries: The records, in order.
        end: Offset behind the last of them.
    """

    entries: tuple[Entry, ...]
    end: int


class Store:
    """The platform's store.

    Attributes:
        pool: Connections to it.
    """

    def __init__(self, address: str):
        self.pool = backendpool.ConnectionPool(
            f"http://{address}",
            CONNECTIONS,
            MAX_BODY_BYTES,
            max_idle_s=60.0,
        )

    def close(self) -> None:
        """Closes the connections."""
        self.pool.close()

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key of a topic.

        A record written meanwhile may be missing; reads from the batch's end
        on bring it.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
        """
        entries: list[Entry] = []
        end = None
        after = None
        while True:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            response = await self.call("GET", "/log-newest", query)
            table = orjson.loads(response.body)
            if end is None:
                end = table["end_offset"]
            for item in table["items"]:
                value = base64.b64decode(item["value"])
                entries.append(Entry(item["key"], value))
            if not table["has_more"]:
                return Batch(tuple(entries), end)
            after = table["items"][-1]["key"]

    async def read(self, topic: str, offset: int, wait_s: float) -> Batch:
        """Returns the records of a topic from an offset on.

        Args:
            topic: The topic.
            offset: Offset of the first record wanted.
            wait_s: How long to wait for a record when there is none.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
            HistoryGoneError: Records from the offset on were deleted.
        """
        query = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": int(wait_s * 1000),
        }
        response = await self.call("GET", "/log-read", query, wait_s=wait_s)
        return decode_batch(response.body, offset)

    async def write(self, topic: str, entry: Entry) -> None:
        """Appends one record to a keyed topic.

        Raises:
            StoreUnavailableError: There was no answer, or a refusal; it may
                have been written.
        """
        query = {"topic": topic, "part": 0}
        await self.call("POST", "/log-append", query, encode_record(entry))

    async def call(
        self,
        method: str,
        path: str,
        query: dict,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> backendpool.Response:
        """Sends one call and returns its answer if it was carried out."""
        where = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            response = await self.pool.request(
                where, body, TIMEOUT_S + wait_s, method, RAW_HEADERS
            )
        except LOST_ERRORS as error:
            raise StoreUnavailableError(
                f"no answer to {path}: {type(error).__name__} {error}",
                "ask again later",
            ) from error
        if response.code == 410:
            raise HistoryGoneError(
                f"{path} from {query.get('from')}: deleted",
                "read the newest record of each key",
            )
        if response.code != 200:
            raise StoreUnavailableError(
                f"{path} answered {response.code}", "ask again later"
            )
        return response


def encode_record(entry: Entry) -> bytes:
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


def _decode_entry(content: bytes) -> Entry:
    if not content:
        return Entry("", None)
    end = 1 + content[0]
    key = content[1:end].decode(errors="replace")
    return Entry(key, content[end:] or None)
