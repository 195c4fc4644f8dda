"""What the platform's store keeps and answers, as data and typed errors."""

import dataclasses
import typing
from collections.abc import Sequence

from egretthread import util


class StoreError(util.EgretthreadError):
    """The store did not do what it was asked to."""

    kind = "store"


class StoreUnavailableError(StoreError):
    """The store gave no answer, or refused; a write may have been done."""

    kind = "store_unavailable"


class StoreRefusedError(StoreUnavailableError):
    """The store did nothing, since it is busy or full."""

    kind = "store_refused"


class FencedError(StoreError):
    """Another process has taken over the partition."""

    kind = "fenced"


class AppendOrderError(StoreError):
    """An append has another number than the store expects.

    Attributes:
        expected: The number that it expects.
    """

    kind = "append_order"

    def __init__(self, message: str, remedy: str, expected: int):
        super().__init__(message, remedy)
        self.expected = expected


class HistoryGoneError(StoreError):
    """The records asked for have been deleted."""

    kind = "history_gone"


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; None when the key is dropped.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True)
class Writer:
    """Orders the appends of the processes that may write to a partition.

    Attributes:
        epoch: An append of a lower one is refused.
        number: Number of the append within the epoch; a repeated one is
            carried out once.
    """

    epoch: int
    number: int


@dataclasses.dataclass(frozen=True)
class Assignment:
    """What a member of a group is to work on.

    Attributes:
        generation: Rises with each change of the group.
        partitions: The partitions.
    """

    generation: int
    partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Batch:
    """Part of a keyed topic.

    Attributes:
        records: The records, in order.
        end: Offset behind the last of them.
    """

    records: tuple[Record, ...]
    end: int


class JobStore(typing.Protocol):
    """The store, as far as the log of kept jobs needs it."""

    async def newest(self, topic: str, part: int = 0) -> Batch:
        """Returns the newest record of each key of a partition."""

    async def find(self, topic: str, part: int, key: str) -> bytes | None:
        """Returns the newest value of one key; None when there is none."""

    async def read(
        self, topic: str, offset: int, wait_s: float, part: int = 0
    ) -> Batch:
        """Returns the records of a partition from an offset on."""

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[Record],
        writer: Writer | None = None,
    ) -> None:
        """Appends records to a partition, all or none."""

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment:
        """Joins a group that shares a topic's partitions, or stays in it."""

    async def leave(self, group: str, member: str) -> None:
        """Leaves a group."""
