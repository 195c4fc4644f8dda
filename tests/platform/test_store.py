"""Tests of the store's records."""

import testtools

from egretthread.platform import store
from egretthread.scheduling.storecall import Record


class TestRecords(testtools.TestCase):
    def test_records_come_back(self):
        entries = (Record("a", b"one"), Record("b", None), Record("ü", b"\x00"))
        rows = b"".join(store.encode_record(entry) for entry in entries)
        batch = store.decode_batch(store.SPAN.pack(9, 6) + rows, 6)
        self.assertEqual(entries, batch.records)
        self.assertEqual(9, batch.end)

    def test_a_record_that_is_cut_short_does_not_raise(self):
        rows = store.encode_record(Record("a", b"one"))[:-5]
        batch = store.decode_batch(store.SPAN.pack(1, 0) + rows, 0)
        self.assertEqual(1, len(batch.records))
