"""What operators publish on the store, decoded and followed."""

import asyncio
import base64

import orjson

from egretthread import logs
from egretthread.platform import bodies
from egretthread.platform.store import Store
from egretthread.scheduling.jobspec import (
    CallerLimits,
    OperatorState,
    Route,
)
from egretthread.scheduling.storecall import (
    HistoryGoneError,
    Record,
    StoreUnavailableError,
)

TOPIC = "op"
CONFIG_KEY = "config"
# A zone is withdrawn while there is a record with this prefix and its name.
WITHDRAWN_PREFIX = "evacuate/"
# Long poll: the store answers at once when there is a record. With the
# client's time-out it bounds how long a silent connection goes unnoticed,
# which must stay below the 5 s in which a configuration comes into force
# after a machine was out of touch.
WAIT_S = 3.0
# Pause after a failed call; doubles up to the longest.
RETRY_S = 0.2
LONGEST_RETRY_S = 1.0


def decode(values: dict[str, bytes], offset: int) -> OperatorState:
    """Returns what operators have in force.

    Args:
        values: Newest value of each key.
        offset: Offset behind the last record taken in.

    Raises:
        bodies.BodyError: The configuration does not have its form.
    """
    withdrawn = frozenset(
        key.removeprefix(WITHDRAWN_PREFIX)
        for key in values
        if key.startswith(WITHDRAWN_PREFIX)
    )
    if CONFIG_KEY not in values:
        return OperatorState(offset=offset, withdrawn=withdrawn)
    table = bodies.parse(values[CONFIG_KEY])
    return OperatorState(
        offset,
        bodies.count(table, "version"),
        tuple(_route(row) for row in bodies.field(table, "routes", list)),
        _limits(bodies.field(table, "limits", dict, {})),
        withdrawn,
    )


def _route(row: dict) -> Route:
    return Route(
        name=bodies.field(row, "name", str),
        host=bodies.field(row, "host", str).lower(),
        path_prefix=bodies.field(row, "path_prefix", str),
        service=bodies.field(row, "service", str),
        priority=bodies.count(row, "priority", 0),
        max_attempts=bodies.count(row, "max_attempts", 1),
        timeout_s=bodies.count(row, "timeout_ms", 30_000) / 1000,
        stretch=bodies.field(row, "stretch", float, 1.0),
        # Comes on top of `stretch` times the longest chain.
        objective_s=bodies.count(row, "target_latency_ms", 0) / 1000,
    )


def _limits(table: dict) -> CallerLimits:
    known = CallerLimits()
    return CallerLimits(
        bodies.count(table, "max_header_bytes", known.max_header_bytes),
        bodies.count(table, "max_body_bytes", known.max_body_bytes),
    )


def encode_relay(values: dict[str, bytes], offset: int) -> str:
    """Returns the records as text, for entries that can't read the store."""
    rows = {key: base64.b64encode(v).decode() for key, v in values.items()}
    return orjson.dumps({"offset": offset, "values": rows}).decode()


def decode_relay(text: str) -> OperatorState:
    """Returns what another entry's text says."""
    table = orjson.loads(text)
    rows = table["values"].items()
    values = {key: base64.b64decode(value) for key, value in rows}
    return decode(values, table["offset"])


class OperatorFeed:
    """Follows what operators publish.

    Attributes:
        store: The store.
        take: Called with the state and its text for other entries.
        values: Newest value of each key, as read here.
        offset: Offset of the next record to read; None before the first.
    """

    def __init__(self, store: Store, take):
        self.store = store
        self.take = take
        self.values: dict[str, bytes] = {}
        self.offset: int | None = None
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to follow."""
        self.task = asyncio.get_running_loop().create_task(self._follow())

    async def close(self) -> None:
        """Ends following."""
        if self.task:
            self.task.cancel()
            await asyncio.wait((self.task,))

    async def _follow(self) -> None:
        pause_s = RETRY_S
        lost = False
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                logs.info("operators_history_gone", offset=self.offset)
                self.offset = None
                continue
            except StoreUnavailableError as error:
                if not lost:
                    logs.warning("store_lost", error=error.message)
                lost = True
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_RETRY_S, 2 * pause_s)
                continue
            if lost:
                logs.info("store_regained", offset=self.offset)
            lost = False
            pause_s = RETRY_S

    async def _step(self) -> None:
        """Reads once, and passes on what is new."""
        if self.offset is None:
            batch = await self.store.newest(TOPIC)
            self.values = {
                e.key: e.value for e in batch.records if e.value is not None
            }
        else:
            batch = await self.store.read(TOPIC, self.offset, WAIT_S)
            if not batch.records:
                return
            for entry in batch.records:
                self._apply(entry)
        self.offset = batch.end
        try:
            state = decode(self.values, batch.end)
        except bodies.BodyError as error:
            logs.error("configuration_unreadable", error=str(error))
            return
        self.take(state, encode_relay(self.values, batch.end))

    def _apply(self, entry: Record) -> None:
        if entry.value is None:
            self.values.pop(entry.key, None)
        else:
            self.values[entry.key] = entry.value
