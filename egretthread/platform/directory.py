"""Registry of the entries' addresses in a keyed topic of the store."""

import asyncio
import reprlib
from collections.abc import Iterable

from egretthread import logs, settings
from egretthread.platform.store import Store
from egretthread.scheduling.storecall import Record, StoreUnavailableError

TOPIC = "entries"
# Backoff after a failed request; doubles with each failure up to the maximum.
RETRY_S = 0.5
MAX_RETRY_S = 5.0


async def find(store: Store) -> tuple[str, ...]:
    """Returns the registered addresses, or none if the store is unavailable."""
    try:
        batch = await store.newest(TOPIC)
    except StoreUnavailableError as error:
        logs.warning("entry_lookup_failed", error=error.message)
        return ()
    return _addresses(batch.records)


def _addresses(records: Iterable[Record]) -> tuple[str, ...]:
    """Returns the addresses in records, without those of another writer."""
    addresses = []
    for record in records:
        if not record.value:
            continue
        try:
            address = record.value.decode()
            settings.split_address(address)
        except ValueError as error:
            logs.warning(
                "entry_malformed",
                key=reprlib.repr(record.key),
                error=reprlib.repr(str(error)),
                remedy="write host:port with an IP address, or delete the key",
            )
        else:
            addresses.append(address)
    return tuple(addresses)


class Announcer:
    """Registers one entry and looks up the others.

    Attributes:
        store: Client of the store.
        name: Name of the instance.
        address: `host:port` at which other processes reach the entry.
        add_entries: Called with the addresses of all registered entries.
    """

    def __init__(self, store: Store, name: str, address: str, add_entries):
        self.store = store
        self.name = name
        self.address = address
        self.add_entries = add_entries
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the registration in the background."""
        self.task = asyncio.get_running_loop().create_task(self._announce())

    async def close(self) -> None:
        """Stops the registration if it is still in progress."""
        if self.task:
            self.task.cancel()
            await asyncio.wait((self.task,))

    async def _announce(self) -> None:
        backoff_s = RETRY_S
        record = Record(self.name, self.address.encode())
        while True:
            try:
                batch = await self.store.newest(TOPIC)
                if record not in batch.records:
                    await self.store.write(TOPIC, record)
                break
            except StoreUnavailableError as error:
                logs.warning("entry_registration_failed", error=error.message)
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_RETRY_S, 2 * backoff_s)
        logs.info("entry_registered", address=self.address)
        self.add_entries(_addresses(batch.records))
