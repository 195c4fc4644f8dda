"""Tests of the registry of the entries' addresses."""

import asyncio
import collections

import testtools

from egretthread.platform import directory
from egretthread.platform.store import Store
from egretthread.scheduling.storecall import Record
from tests.platform import fakes
from tests.platform.test_operators import until

GARBAGE = (
    b"",
    b"\xff\x00",
    b"garbage",
    b"host:80",
    b"127.0.0.1",
    b"127.0.0.1:",
    b"127.0.0.1:65536",
    b"127.0.0.1:-1",
    b"127.0.0.1:1e3",
    b"{}",
    b"x" * 10_000,
)


class TestRegistry(testtools.TestCase):
    # Links were opened to such an address, and left out of those to entries.
    def test_records_of_another_writer_name_no_entry(self):
        async def scenario():
            fake = fakes.FakeStore()
            store = Store(fake.address, collections.deque())
            for number, value in enumerate(GARBAGE):
                fake.write(directory.TOPIC, Record(f"x-{number}", value))
            fake.write(directory.TOPIC, Record("e-1", b"127.0.0.1:7600"))
            found = await directory.find(store)
            added = []
            announcer = directory.Announcer(
                store, "e-2", "127.0.0.2:7600", added.extend
            )
            announcer.start()
            await until(lambda: added)
            await announcer.close()
            store.close()
            await fake.close()
            return found, added

        found, added = asyncio.run(scenario())
        self.assertEqual(("127.0.0.1:7600",), found)
        self.assertEqual(["127.0.0.1:7600"], added)
