"""Follows and decodes the records that operators publish in the store."""

import asyncio
import base64

import orjson

from egretthread import background, clock, logs, metrics
from egretthread.platform import bodies
from egretthread.platform.store import Store
from egretthread.scheduling.jobspec import (
    CallerLimits,
    OperatorState,
    Route,
)
from egretthread.scheduling.storecall import (
    POLL_WAIT_S,
    HistoryGoneError,
    Record,
    StoreUnavailableError,
    retry_delay_s,
)

TOPIC = "op"
CONFIG_KEY = "config"
# A zone is withdrawn while a record exists whose key is this prefix and the
# zone's name.
WITHDRAWN_PREFIX = "evacuate/"
# Before the first configuration has been read, callers are waiting for it, and
# a failed request is repeated after this time.
START_RETRY_S = 0.1
# Timeouts of these requests, in turn. The short ones notice soon that a silent
# store answers again, the long one gets the answer of a slow store.
START_TIMEOUTS_S = (0.25, 0.25, 0.8)


def decode(values: dict[str, bytes], offset: int) -> OperatorState:
    """Returns the operator state that results from the newest records.

    Args:
        values: Newest value of each key.
        offset: Offset after the last record that was read.

    Raises:
        bodies.BodyError: The configuration is malformed.
    """
    withdrawn = frozenset(
        key.removeprefix(WITHDRAWN_PREFIX)
        for key in values
        if key.startswith(WITHDRAWN_PREFIX)
    )
    if CONFIG_KEY not in values:
        return OperatorState(offset=offset, withdrawn=withdrawn)
    table = bodies.parse(values[CONFIG_KEY])
    routes = tuple(
        _decode_route(route) for route in bodies.objects(table, "routes")
    )
    return OperatorState(
        offset,
        bodies.count(table, "version"),
        routes,
        _decode_limits(bodies.field(table, "limits", dict, {})),
        withdrawn,
        _decode_services(table, routes),
    )


def _decode_route(table: dict) -> Route:
    return Route(
        name=bodies.field(table, "name", str),
        host=bodies.field(table, "host", str).lower(),
        path_prefix=bodies.field(table, "path_prefix", str),
        service=bodies.field(table, "service", str),
        priority=bodies.count(table, "priority", 0),
        max_attempts=bodies.count(table, "max_attempts", 1),
        timeout_s=bodies.count(table, "timeout_ms", 30_000) / 1000,
        stretch=bodies.field(table, "stretch", float, 1.0),
        # Added to `stretch` times the duration of the critical path.
        objective_s=bodies.count(table, "target_latency_ms", 0) / 1000,
    )


def _decode_services(table: dict, routes: tuple[Route, ...]) -> tuple[str, ...]:
    """Returns the services that the configuration or a route names.

    None are returned if they can't be read; the routes are in force without.
    """
    try:
        names = {
            bodies.label(service, "name")
            for service in bodies.objects(table, "services", [])
        }
    except bodies.BodyError as error:
        logs.error("services_malformed", error=str(error))
        return ()
    return tuple(sorted(names | {route.service for route in routes}))


def _decode_limits(table: dict) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        bodies.count(table, "max_header_bytes", defaults.max_header_bytes),
        bodies.count(table, "max_body_bytes", defaults.max_body_bytes),
    )


def encode_relay(values: dict[str, bytes], offset: int) -> str:
    """Encodes the records for entries that cannot read the store themselves."""
    encoded = {key: base64.b64encode(v).decode() for key, v in values.items()}
    return orjson.dumps({"offset": offset, "values": encoded}).decode()


def decode_relay(text: str) -> OperatorState:
    """Decodes the records relayed by another entry.

    Raises:
        bodies.BodyError: The text or the configuration in it is malformed.
    """
    table = bodies.parse(text.encode())
    encoded = bodies.field(table, "values", dict)
    try:
        values = {key: base64.b64decode(v) for key, v in encoded.items()}
    except (TypeError, ValueError) as error:
        raise bodies.BodyError(
            f"a relayed value is malformed: {error}",
            "run the same release on all entries and agents",
        ) from error
    return decode(values, bodies.count(table, "offset"))


class OperatorFeed:
    """Follows the topic in which operators publish.

    Attributes:
        store: Client of the store.
        on_state: Called with each new state and its encoding for other
            entries.
        values: Newest value of each key that was read; of the configuration,
            the newest that can be decoded.
        offset: Offset of the next record to read; None until the newest
            records have been read, and after a gap in the history.
        attempts: Number of requests for the newest records.
        read_s: When a read last succeeded; at first, when the feed was made.
        is_unreadable: Whether the newest configuration is malformed, so that
            an earlier one is in force.
    """

    def __init__(self, store: Store, on_state):
        self.store = store
        self.on_state = on_state
        self.values: dict[str, bytes] = {}
        self.offset: int | None = None
        self.attempts = 0
        self.read_s = clock.monotonic_s()
        self.is_unreadable = False
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts following the topic."""
        self.task = asyncio.get_running_loop().create_task(
            background.keep_running(self._follow)
        )

    async def close(self) -> None:
        """Stops following the topic."""
        if self.task:
            self.task.cancel()
            await asyncio.wait((self.task,))

    def set_age(self, process_metrics: metrics.Metrics) -> None:
        """Sets the time since the records were last read."""
        age_s = clock.monotonic_s() - self.read_s
        process_metrics.set("log_age_seconds", age_s)

    async def _follow(self) -> None:
        failures = 0
        while True:
            try:
                # A store that does not answer would not answer a long poll
                # either, but take longer.
                await self._read_once(0.0 if failures else POLL_WAIT_S)
            except HistoryGoneError:
                logs.info("operator_records_deleted", offset=self.offset)
                self.offset = None
                continue
            except StoreUnavailableError as error:
                if not failures:
                    logs.warning("store_lost", error=error.message)
                failures += 1
                await asyncio.sleep(
                    retry_delay_s(failures, error)
                    if self.values
                    else START_RETRY_S
                )
                continue
            if failures:
                logs.info("store_reachable_again", offset=self.offset)
            failures = 0
            self.read_s = clock.monotonic_s()

    async def _read_once(self, wait_s: float) -> None:
        """Reads one batch and passes on the state if it brought records.

        Args:
            wait_s: How long to wait for a record if there is none yet.
        """
        if self.offset is None:
            timeout_s = START_TIMEOUTS_S[self.attempts % len(START_TIMEOUTS_S)]
            self.attempts += 1
            batch = await self.store.newest(TOPIC, timeout_s=timeout_s)
            keys = {record.key for record in batch.records}
            self.values = {
                key: value
                for key, value in self.values.items()
                if key == CONFIG_KEY and key in keys
            }
            self.is_unreadable = False
        else:
            batch = await self.store.read(TOPIC, self.offset, wait_s)
            if not batch.records:
                return
        for record in batch.records:
            self._apply(record)
        self.offset = batch.end
        if self.is_unreadable and CONFIG_KEY not in self.values:
            # Other entries may still know the last readable configuration.
            return
        state = decode(self.values, batch.end)
        self.on_state(state, encode_relay(self.values, batch.end))

    def _apply(self, record: Record) -> None:
        """Applies a record; a malformed configuration changes nothing."""
        if record.key == CONFIG_KEY:
            self.is_unreadable = not _is_readable(record)
            if self.is_unreadable:
                return
        if record.value is None:
            self.values.pop(record.key, None)
        else:
            self.values[record.key] = record.value


def _is_readable(record: Record) -> bool:
    """Whether a record of the configuration deletes it or can be decoded."""
    if record.value is None:
        return True
    try:
        decode({record.key: record.value}, 0)
    except bodies.BodyError as error:
        logs.error("configuration_malformed", error=str(error))
        return False
    return True
