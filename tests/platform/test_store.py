"""Tests of encoding and decoding records of the store."""

import asyncio
import collections

import testtools

from egretthread.platform import store
from egretthread.scheduling.storecall import Record, StoreUnavailableError
from tests.platform import fakes


class TestRecords(testtools.TestCase):
    def test_records_round_trip(self):
        records = (Record("a", b"one"), Record("b", None), Record("ü", b"\x00"))
        rows = b"".join(store.encode_record(record) for record in records)
        batch = store.decode_batch(store.READ_HEADER.pack(9, 6) + rows, 6)
        self.assertEqual(records, batch.records)
        self.assertEqual(9, batch.end)

    # A read is limited in size.
    def test_records_beyond_a_batch_are_reported(self):
        rows = store.encode_record(Record("a", b"one"))
        for end, has_more in ((7, False), (8, True)):
            header = store.READ_HEADER.pack(end, 0)
            batch = store.decode_batch(header + rows, 6)
            self.assertEqual((7, has_more), (batch.end, batch.has_more))

    def test_a_truncated_record_does_not_raise(self):
        rows = store.encode_record(Record("a", b"one"))[:-5]
        batch = store.decode_batch(store.READ_HEADER.pack(1, 0) + rows, 0)
        self.assertEqual(1, len(batch.records))


class TestMalformedResponses(testtools.TestCase):
    def test_every_call_reports_the_store_as_unavailable(self):
        async def scenario():
            fake = fakes.FakeStore()
            fake.mode = "garbage"
            client = store.Store(fake.address, collections.deque())
            for _ in range(3):
                for call in (
                    lambda: client.newest("t"),
                    lambda: client.find("t", 0, "key"),
                    lambda: client.read("t", 0, 0.0),
                    lambda: client.join("g", "m", "t", 1.0, 0),
                ):
                    with self.assertRaises(StoreUnavailableError):
                        await call()
            client.close()
            await fake.close()

        asyncio.run(scenario())


class TestLongPolls(testtools.TestCase):
    # Guards against long polls that take up all connections, so that other
    # requests time out although the store answers.
    def test_other_requests_are_not_delayed_by_long_polls(self):
        async def scenario():
            fake = fakes.FakeStore()
            client = store.Store(fake.address, collections.deque())
            polls = [
                asyncio.ensure_future(client.read("t", 0, 1.5, partition))
                for partition in range(2 * store.MAX_CONNECTIONS)
            ]
            async with asyncio.timeout(5.0):
                while fake.calls["/log-read"] < store.MAX_CONNECTIONS:
                    await asyncio.sleep(0.01)
            await client.newest("t")
            await client.join("g", "m", "t", 1.0, 0)
            await asyncio.gather(*polls)
            self.assertEqual(len(polls), fake.calls["/log-read"])
            client.close()
            await fake.close()

        asyncio.run(scenario())

    # Guards against requests without an answer that keep a read from being
    # sent.
    def test_reads_are_not_delayed_by_other_requests(self):
        async def scenario():
            fake = fakes.FakeStore()
            fake.put("op", "config", {})
            client = store.Store(fake.address, collections.deque())
            fake.mode = "silent"
            calls = [
                asyncio.ensure_future(client.newest("t"))
                for _ in range(2 * store.MAX_CONNECTIONS)
            ]
            async with asyncio.timeout(5.0):
                while fake.calls["/log-newest"] < store.MAX_CONNECTIONS:
                    await asyncio.sleep(0.01)
            fake.mode = ""
            async with asyncio.timeout(0.3):
                batch = await client.read("op", 0, 0.0)
            self.assertEqual(1, batch.end)
            for call in calls:
                call.cancel()
            await asyncio.wait(calls)
            client.close()
            await fake.close()

        asyncio.run(scenario())
