"""Where entries announce themselves: a keyed topic of the store."""

import asyncio

from egretthread import logs
from egretthread.platform.store import Store
from egretthread.scheduling.storecall import Record, StoreUnavailableError

TOPIC = "entries"
# Pause after a failed call; doubles up to the longest.
RETRY_S = 0.5
LONGEST_RETRY_S = 5.0


async def find(store: Store) -> tuple[str, ...]:
    """Returns the addresses of the entries that have announced themselves."""
    try:
        batch = await store.newest(TOPIC)
    except StoreUnavailableError as error:
        logs.warning("entries_not_read", error=error.message)
        return ()
    values = [entry.value for entry in batch.records if entry.value]
    return tuple(value.decode(errors="replace") for value in values)


class Announcer:
    """Announces one entry and learns of the others.

    Attributes:
        store: The store.
        name: Name of the instance.
        address: `host:port` at which others reach the entry.
        add_entries: Called with the addresses that are found.
    """

    def __init__(self, store: Store, name: str, address: str, add_entries):
        self.store = store
        self.name = name
        self.address = address
        self.add_entries = add_entries
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to announce."""
        self.task = asyncio.get_running_loop().create_task(self._announce())

    async def close(self) -> None:
        """Ends announcing."""
        if self.task:
            self.task.cancel()
            await asyncio.wait((self.task,))

    async def _announce(self) -> None:
        pause_s = RETRY_S
        entry = Record(self.name, self.address.encode())
        while True:
            try:
                batch = await self.store.newest(TOPIC)
                if entry not in batch.records:
                    await self.store.write(TOPIC, entry)
                break
            except StoreUnavailableError as error:
                logs.warning("entry_not_announced", error=error.message)
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_RETRY_S, 2 * pause_s)
        logs.info("entry_announced", address=self.address)
        others = [item.value for item in batch.records if item.value]
        self.add_entries([value.decode(errors="replace") for value in others])
