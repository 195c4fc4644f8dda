"""Registry of the entries' addresses in a keyed topic of the store."""

import asyncio

from egretthread import logs
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
    values = [record.value for record in batch.records if record.value]
    return tuple(value.decode(errors="replace") for value in values)


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
        values = [known.value for known in batch.records if known.value]
        self.add_entries([value.decode(errors="replace") for value in values])
