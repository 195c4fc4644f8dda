"""Client of the platform's append-only log service."""

import asyncio
import dataclasses
import json
import time
import uuid

import tornado.httpclient
import tornado.httputil

from egretthread import util

# Long polls hold a connection each, so the client's default of 10 is low.
MAX_CONNECTIONS = 100
# Beyond the end of any stream; a read from here gives the span alone.
PAST_END_OFFSET = 2**53
RESOLVE_TRIES = 3
RETRY_PAUSE_S = 0.1


class LogUnavailableError(util.EgretthreadError):
    """The log did not serve the request, and nothing was appended."""

    kind = "log_unavailable"


class AnswerLostError(util.EgretthreadError):
    """No answer to an append came; it may have taken effect."""

    kind = "answer_lost"


class AppendConflictError(util.EgretthreadError):
    """The stream's end is not the expected offset; nothing was appended.

    Attributes:
        end: The stream's end.
    """

    kind = "append_conflict"

    def __init__(self, stream: str, expected: int | None, end: int):
        super().__init__(
            f"stream {stream} ends at {end}, not at {expected}",
            "read the newer records, then decide afresh",
        )
        self.end = end


class OffsetExpiredError(util.EgretthreadError):
    """The records from the offset on have expired.

    Attributes:
        first: Offset of the oldest record kept.
        end: Offset of the next record.
    """

    kind = "offset_expired"

    def __init__(self, stream: str, offset: int, first: int, end: int):
        super().__init__(
            f"offset {offset} of stream {stream} has expired",
            f"read from {first}, and take the state before it as unknown",
        )
        self.first = first
        self.end = end


class AppendUnresolvedError(util.EgretthreadError):
    """An append's answer was lost and its effect could not be read back.

    Attributes:
        record_id: The id within the envelope of the record.
    """

    kind = "append_unresolved"

    def __init__(self, stream: str, record_id: str, cause: str):
        super().__init__(
            f"whether record {record_id} is on stream {stream} is not known:"
            f" {cause}",
            "once the log answers, look for the id before appending again",
        )
        self.record_id = record_id


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """One record as read from the log."""

    offset: int
    data: str


@dataclasses.dataclass(frozen=True)
class LogBatch:
    """Part of a stream.

    Attributes:
        first: Offset of the oldest record kept.
        end: Offset of the next record.
        records: The records read, in order of offset.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...]


@dataclasses.dataclass(frozen=True)
class Envelope:
    """What every record of this system holds.

    Attributes:
        id: Unique id of the record, by which a lost answer is resolved.
        author: Who appended it.
        at_s: When it was made, in Unix seconds.
        data: The content.
    """

    id: str
    author: str
    at_s: float
    data: str


def encode_envelope(envelope: Envelope) -> str:
    """Returns the text of a record."""
    return json.dumps(dataclasses.asdict(envelope))


def decode_envelope(text: str) -> Envelope | None:
    """Returns the envelope in a record's text, or None if there is none."""
    try:
        table = json.loads(text)
        return Envelope(
            id=str(table["id"]),
            author=str(table["author"]),
            at_s=float(table["at_s"]),
            data=str(table["data"]),
        )
    except (ValueError, TypeError, KeyError):
        return None


class LogClient:
    """Reads and appends to the streams of one log service.

    Attributes:
        url: Base URL of the service.
        timeout_s: Time allowed for an answer beyond the wait of a long poll.
        http: The HTTP client.
    """

    def __init__(self, url: str, timeout_s: float = 2.0):
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.http = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS
        )

    def close(self) -> None:
        """Closes the HTTP client; requests in flight fail."""
        self.http.close()

    async def read(
        self, stream: str, from_offset: int, wait_s: float = 0.0
    ) -> LogBatch:
        """Reads a batch of records.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record wanted.
            wait_s: How long to wait for a record when there is none.

        Returns:
            The batch, without records when the wait has passed.

        Raises:
            LogUnavailableError: The log did not answer.
            OffsetExpiredError: Records from the offset on have expired.
        """
        query = {"from": from_offset, "wait": wait_s}
        try:
            response = await self.fetch(stream, query, "GET", None, wait_s)
        except (OSError, tornado.httpclient.HTTPError) as error:
            raise unavailable(str(error)) from error
        if response.code == 410:
            span = json.loads(response.body)
            raise OffsetExpiredError(
                stream, from_offset, span["first"], span["end"]
            )
        if response.code != 200:
            raise unavailable(f"status {response.code}")
        return decode_batch(response.body)

    async def append(
        self, stream: str, data: str, expected: int | None = None
    ) -> int:
        """Appends one record.

        Args:
            stream: Name of the stream.
            data: The record's text.
            expected: The offset it must get; None for any.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: The log refused; nothing was appended.
            AppendConflictError: The stream's end is another one.
            AnswerLostError: No answer came; it may have taken effect.
        """
        query = {} if expected is None else {"expect": expected}
        try:
            response = await self.fetch(stream, query, "POST", data, 0.0)
        except ConnectionRefusedError as error:
            raise unavailable(str(error)) from error
        except (OSError, tornado.httpclient.HTTPError) as error:
            raise answer_lost(stream, str(error)) from error
        if response.code == 409:
            end = json.loads(response.body)["end"]
            raise AppendConflictError(stream, expected, end)
        if response.code == 503:
            raise unavailable("status 503")
        if response.code != 200:
            raise answer_lost(stream, f"status {response.code}")
        return json.loads(response.body)["offset"]

    async def append_resolving(
        self,
        stream: str,
        data: str,
        author: str,
        expected: int | None = None,
    ) -> int:
        """Appends a record in an envelope and resolves a lost answer.

        The record's id is looked for from the expected offset on. A record
        that is not there is appended again only under the same expected
        offset, which the log grants once; without one it stays unresolved,
        because the lost request may still arrive.

        Args:
            stream: Name of the stream.
            data: The content of the envelope.
            author: Who appends it.
            expected: The offset it must get; None for any.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: The log refused; nothing was appended.
            AppendConflictError: Another record has the expected offset.
            AppendUnresolvedError: It may have been appended.
        """
        envelope = Envelope(uuid.uuid4().hex, author, time.time(), data)
        text = encode_envelope(envelope)
        if expected is None:
            start = await self.end(stream)
            return await self.append_anywhere(stream, text, start, envelope.id)
        return await self.append_at(stream, text, expected, envelope.id)

    async def append_anywhere(
        self, stream: str, text: str, start: int, record_id: str
    ) -> int:
        """Appends once, and reads back from `start` if the answer is lost."""
        try:
            return await self.append(stream, text)
        except AnswerLostError:
            offset = await self.find(stream, start, record_id)
        if offset is None:
            raise AppendUnresolvedError(
                stream, record_id, "it is not there yet but may still arrive"
            )
        return offset

    async def append_at(
        self, stream: str, text: str, expected: int, record_id: str
    ) -> int:
        """Appends at one offset, again if the record is not there."""
        lost = False
        for _ in range(RESOLVE_TRIES):
            try:
                return await self.append(stream, text, expected)
            except (AppendConflictError, LogUnavailableError):
                if not lost:
                    raise
            except AnswerLostError:
                lost = True
            batch = await self.read_back(stream, expected, record_id)
            if batch.records:
                if has_id(batch.records[0], record_id):
                    return expected
                raise AppendConflictError(stream, expected, batch.end)
        raise AppendUnresolvedError(
            stream, record_id, f"{RESOLVE_TRIES} answers were lost"
        )

    async def find(self, stream: str, start: int, record_id: str) -> int | None:
        """Returns the offset of the record with this id, None if not there.

        Raises:
            AppendUnresolvedError: The log could not be read.
        """
        while True:
            batch = await self.read_back(stream, start, record_id)
            for record in batch.records:
                if has_id(record, record_id):
                    return record.offset
            start += len(batch.records)
            if start >= batch.end:
                return None

    async def read_back(
        self, stream: str, start: int, record_id: str
    ) -> LogBatch:
        """Reads a batch, trying a log that does not answer a few times."""
        cause = ""
        for attempt in range(RESOLVE_TRIES):
            try:
                return await self.read(stream, start)
            except OffsetExpiredError as error:
                raise AppendUnresolvedError(
                    stream, record_id, str(error)
                ) from error
            except LogUnavailableError as error:
                cause = str(error)
            await asyncio.sleep(RETRY_PAUSE_S * (attempt + 1))
        raise AppendUnresolvedError(stream, record_id, cause)

    async def end(self, stream: str) -> int:
        """Returns the offset of the stream's next record.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        return (await self.read(stream, PAST_END_OFFSET)).end

    async def fetch(
        self,
        stream: str,
        query: dict,
        method: str,
        body: str | None,
        wait_s: float,
    ) -> tornado.httpclient.HTTPResponse:
        """Sends one request and returns the response of any status."""
        url = tornado.httputil.url_concat(
            f"{self.url}/streams/{stream}/records", query
        )
        return await self.http.fetch(
            url,
            raise_error=False,
            method=method,
            body=body,
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s + wait_s,
        )


def has_id(record: LogRecord, record_id: str) -> bool:
    """Returns whether a record's envelope bears this id."""
    envelope = decode_envelope(record.data)
    return envelope is not None and envelope.id == record_id


def decode_batch(body: bytes) -> LogBatch:
    """Returns the batch in the body of a response."""
    table = json.loads(body)
    records = tuple(
        LogRecord(record["offset"], record["data"])
        for record in table["records"]
    )
    return LogBatch(table["first"], table["end"], records)


def unavailable(cause: str) -> LogUnavailableError:
    """Returns the error of a log that did not serve a request."""
    return LogUnavailableError(
        f"the log service did not serve the request: {cause}",
        "try again once the log service answers",
    )


def answer_lost(stream: str, cause: str) -> AnswerLostError:
    """Returns the error of an append without an answer."""
    return AnswerLostError(
        f"no answer to an append to stream {stream}: {cause}",
        "read the stream back to learn whether it took effect",
    )
