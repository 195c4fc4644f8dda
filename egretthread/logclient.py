"""Client of the platform's append-only log service."""

import asyncio
import dataclasses
import json
import time
import uuid

import tornado.httpclient
import tornado.httputil

from egretthread import util

# Each long poll holds a connection, so the HTTP client's default of 10 would
# be too low.
MAX_CONNECTIONS = 100
# An offset beyond the end of any stream. Reading from it returns no records,
# only the offsets of the stream's first and next record.
PAST_END_OFFSET = 2**53
RESOLVE_ATTEMPTS = 3
# Backoff between attempts to read back; multiplied by the attempt's number.
RETRY_BACKOFF_S = 0.1


class LogUnavailableError(util.EgretthreadError):
    """The log service did not execute the request; nothing was appended."""

    kind = "log_unavailable"


class AnswerLostError(util.EgretthreadError):
    """An append got no response; the record may have been appended."""

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
            "read the newer records and decide again",
        )
        self.end = end


class OffsetExpiredError(util.EgretthreadError):
    """The records from the offset on have expired.

    Attributes:
        first: Offset of the oldest retained record.
        end: Offset of the next record.
    """

    kind = "offset_expired"

    def __init__(self, stream: str, offset: int, first: int, end: int):
        super().__init__(
            f"offset {offset} of stream {stream} has expired",
            f"read from {first}, and treat the state before it as unknown",
        )
        self.first = first
        self.end = end


class AppendUnresolvedError(util.EgretthreadError):
    """It is unknown whether a record was appended.

    The response was lost, and reading the stream back gave no answer either.

    Attributes:
        record_id: The id in the record's envelope.
    """

    kind = "append_unresolved"

    def __init__(self, stream: str, record_id: str, cause: str):
        super().__init__(
            f"it is unknown whether record {record_id} is on stream {stream}:"
            f" {cause}",
            "once the log answers, look for the id before appending again",
        )
        self.record_id = record_id


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    data: str


@dataclasses.dataclass(frozen=True)
class LogBatch:
    """Consecutive records of a stream.

    Attributes:
        first: Offset of the oldest retained record of the stream.
        end: Offset of the next record to be appended.
        records: The records that were read, in order of offset.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...]


@dataclasses.dataclass(frozen=True)
class Envelope:
    """Content of every record that this system appends.

    Attributes:
        id: Unique id, used to find the record after a lost response.
        author: Who appended the record.
        at_s: Unix time at which the record was created.
        data: The payload.
    """

    id: str
    author: str
    at_s: float
    data: str


def encode_envelope(envelope: Envelope) -> str:
    """Encodes an envelope as the text of a record."""
    return json.dumps(dataclasses.asdict(envelope))


def decode_envelope(text: str) -> Envelope | None:
    """Decodes the text of a record, or returns None if it is no envelope."""
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
        timeout_s: Response timeout, in addition to the wait of a long poll.
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
            from_offset: Offset of the first record to read.
            wait_s: How long to wait for a record if there is none yet.

        Returns:
            The batch; without records if none was appended within the wait.

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
            expected: The offset that the record must get; None for any.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: The log refused; nothing was appended.
            AppendConflictError: The stream does not end at `expected`.
            AnswerLostError: No response; the record may have been appended.
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
        """Appends a record in an envelope and handles a lost response.

        After a lost response, it reads the stream back to find the record by
        its id. If the record is missing, it is appended again only with an
        expected offset, which the log assigns to one record at most. Without
        an expected offset the outcome stays unknown, because the lost request
        may still arrive.

        Args:
            stream: Name of the stream.
            data: The payload of the envelope.
            author: Who appends the record.
            expected: The offset that the record must get; None for any.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: The log refused; nothing was appended.
            AppendConflictError: Another record has the expected offset.
            AppendUnresolvedError: The record may have been appended.
        """
        envelope = Envelope(uuid.uuid4().hex, author, time.time(), data)
        text = encode_envelope(envelope)
        if expected is None:
            start = await self.end(stream)
            return await self.append_at_end(stream, text, start, envelope.id)
        return await self.append_at(stream, text, expected, envelope.id)

    async def append_at_end(
        self, stream: str, text: str, start: int, record_id: str
    ) -> int:
        """Appends once, and reads back from `start` if the response is lost."""
        try:
            return await self.append(stream, text)
        except AnswerLostError:
            offset = await self.find(stream, start, record_id)
        if offset is None:
            raise AppendUnresolvedError(
                stream,
                record_id,
                "the record is not there yet but may still arrive",
            )
        return offset

    async def append_at(
        self, stream: str, text: str, expected: int, record_id: str
    ) -> int:
        """Appends at one offset, and retries if the record is missing."""
        lost = False
        for _ in range(RESOLVE_ATTEMPTS):
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
            stream, record_id, f"{RESOLVE_ATTEMPTS} responses were lost"
        )

    async def find(self, stream: str, start: int, record_id: str) -> int | None:
        """Returns the offset of the record with this id, or None.

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
        """Reads a batch, with retries if the log does not answer.

        Raises:
            AppendUnresolvedError: The log could not be read.
        """
        cause = ""
        for attempt in range(RESOLVE_ATTEMPTS):
            try:
                return await self.read(stream, start)
            except OffsetExpiredError as error:
                raise AppendUnresolvedError(
                    stream, record_id, str(error)
                ) from error
            except LogUnavailableError as error:
                cause = str(error)
            await asyncio.sleep(RETRY_BACKOFF_S * (attempt + 1))
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
        """Sends one request and returns the response, whatever its status."""
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
    """Whether a record has an envelope with this id."""
    envelope = decode_envelope(record.data)
    return envelope is not None and envelope.id == record_id


def decode_batch(body: bytes) -> LogBatch:
    """Decodes the batch in the body of a response."""
    table = json.loads(body)
    records = tuple(
        LogRecord(record["offset"], record["data"])
        for record in table["records"]
    )
    return LogBatch(table["first"], table["end"], records)


def unavailable(cause: str) -> LogUnavailableError:
    """Returns the error for a request that the log did not execute."""
    return LogUnavailableError(
        f"the log service did not execute the request: {cause}",
        "retry once the log service answers",
    )


def answer_lost(stream: str, cause: str) -> AnswerLostError:
    """Returns the error for an append without a response."""
    return AnswerLostError(
        f"no response to an append to stream {stream}: {cause}",
        "read the stream back to find out whether the record was appended",
    )
