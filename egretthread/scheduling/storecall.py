"""Interface to the platform's store: its data classes, errors and calls."""

import dataclasses
import typing
from collections.abc import Sequence

from egretthread import util

# Wait of a long poll; the store answers at once when there is a record. With
# the client's timeout it bounds for how long a silent connection is waited on.
# A record that was written before the end of a disruption has to be applied
# 3 s after that end, and one more read over a new connection has to fit in.
POLL_WAIT_S = 1.5
# Backoff after a failed request; doubles with each failure up to the maximum.
RETRY_S = 0.2
MAX_RETRY_S = 0.5


class StoreError(util.EgretthreadError):
    """A call to the store failed."""

    kind = "store"


class StoreUnavailableError(StoreError):
    """The store did not answer or refused; a write may have been applied."""

    kind = "store_unavailable"


class StoreRefusedError(StoreUnavailableError):
    """The store refused a call as it is busy or full; nothing was written."""

    kind = "store_refused"


class FencedError(StoreError):
    """A later coordinator has taken over the partition."""

    kind = "fenced"


class AppendOrderError(StoreError):
    """The sequence number of an append is not the one that the store expects.

    The records of this append are not stored: the store answers a repeated
    append like the first one.

    Attributes:
        expected: The sequence number that the store expects.
    """

    kind = "append_order"

    def __init__(self, message: str, remedy: str, expected: int):
        super().__init__(message, remedy)
        self.expected = expected


class HistoryGoneError(StoreError):
    """The requested records have been deleted by the store."""

    kind = "history_gone"


def retry_delay_s(failures: int, error: StoreUnavailableError) -> float:
    """Returns the delay before a failed request is repeated, in seconds.

    Args:
        failures: Number of failures in succession, including the last.
        error: The last failure.
    """
    if failures == 1 and not isinstance(error, StoreRefusedError):
        # The connection may be the cause; the next request opens another one.
        return 0.0
    return min(MAX_RETRY_S, RETRY_S * 2 ** min(failures - 1, 8))


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; None deletes the key.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Writer:
    """Identifies an append among those of successive writers of a partition.

    Attributes:
        epoch: Epoch of the writer; the store refuses appends of lower epochs.
        number: Sequence number of the append within the epoch; the store
            applies a repeated append only once.
    """

    epoch: int
    number: int


@dataclasses.dataclass(frozen=True)
class Appended:
    """Where the store has put the records of an append.

    Attributes:
        first: Offset of the first record.
        end: Offset after the last record.
    """

    first: int
    end: int


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Partitions that are assigned to a member of a group.

    Attributes:
        generation: Generation of the group, which increases with each change.
        partitions: Numbers of the partitions.
    """

    generation: int
    partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Batch:
    """Consecutive records of a keyed topic.

    Attributes:
        records: The records, in order.
        end: Offset after the last of them.
        has_more: Whether the store had more records when it answered.
    """

    records: tuple[Record, ...]
    end: int
    has_more: bool = False


class JobStore(typing.Protocol):
    """The calls to the store that the log of kept jobs uses."""

    async def newest(self, topic: str, partition: int = 0) -> Batch:
        """Returns the newest record of each key of a partition."""

    async def find(self, topic: str, partition: int, key: str) -> bytes | None:
        """Returns the newest value of one key; None when there is none."""

    async def find_newest(
        self, topic: str, partition: int, key: str
    ) -> tuple[bytes | None, int]:
        """Returns the newest value of a key, and the partition's end offset."""

    async def read(
        self, topic: str, offset: int, wait_s: float, partition: int = 0
    ) -> Batch:
        """Returns the records of a partition, starting at an offset."""

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[Record],
        writer: Writer | None = None,
    ) -> Appended | None:
        """Appends records to a partition atomically; None without records."""

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment:
        """Joins or stays in a group that shares the partitions of a topic."""

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group."""
