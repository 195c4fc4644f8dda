"""Tests of encoding and decoding records of the store."""

import testtools

from egretthread.platform import store
from egretthread.scheduling.storecall import Entry


class TestRecords(testtools.TestCase):
    def test_records_round_trip(self):
        entries = (Entry("a", b"one"), Entry("b", None), Entry("ü", b"\x00"))
        rows = b"".join(store.encode_record(entry) for entry in entries)
        batch = store.decode_batch(store.READ_HEADER.pack(9, 6) + rows, 6)
        self.assertEqual(entries, batch.entries)
        self.assertEqual(9, batch.end)

    def test_a_truncated_record_does_not_raise(self):
        rows = store.encode_record(Entry("a", b"one"))[:-5]
        batch = store.decode_batch(store.READ_HEADER.pack(1, 0) + rows, 0)
        self.assertEqual(1, len(batch.entries))
