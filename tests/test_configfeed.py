"""Tests of the configuration feed."""

import itertools

import testtools

from egretthread import config, configfeed, configtext, logclient


def record(shards: int) -> str:
    """Returns the text of a record whose configuration has `shards` shards."""
    text = configtext.dumps(config.Configuration(shards=shards))
    envelope = logclient.Envelope("i", "ann", 5.0, text)
    return logclient.encode_envelope(envelope)


class ConfigFeedTest(testtools.TestCase):
    def test_any_order_ends_with_the_highest_offset(self):
        for order in itertools.permutations(range(1, 5)):
            feed = configfeed.ConfigFeed()
            in_force = []
            for offset in order:
                feed.apply(offset, record(offset))
                in_force.append(feed.configuration.shards)
            self.assertEqual(sorted(in_force), in_force)
            self.assertEqual((4, 4), (feed.offset, in_force[-1]))
            self.assertEqual(5, feed.next_offset)

    def test_bad_records_are_skipped_with_a_fault(self):
        feed = configfeed.ConfigFeed()
        self.assertTrue(feed.apply(0, record(2)))
        self.assertFalse(feed.apply(1, "junk"))
        self.assertFalse(feed.apply(2, record(0)))
        self.assertEqual((0, 2), (feed.offset, feed.configuration.shards))
        self.assertEqual([1, 2], [fault.offset for fault in feed.faults])
        self.assertIn("shards = 0", feed.faults[1].reason)
        self.assertTrue(feed.apply(3, record(3)))
        self.assertEqual(("ann", 5.0), (feed.author, feed.published_s))

    def test_expired_records_are_skipped(self):
        feed = configfeed.ConfigFeed()
        feed.apply(0, record(2))
        feed.resume_at(7)
        self.assertEqual((7, 0), (feed.next_offset, feed.offset))

    def test_time_of_the_last_complete_read_is_kept(self):
        feed = configfeed.ConfigFeed()
        self.assertIsNone(feed.read_at_s)
        feed.mark_read(3.0)
        self.assertEqual(3.0, feed.read_at_s)
