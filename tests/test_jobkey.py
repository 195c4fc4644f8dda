"""Tests of job keys."""

import testtools

from egretthread import jobkey


class JobKeyTest(testtools.TestCase):
    def test_key_carries_its_time(self):
        key = jobkey.make_key(1796336037.123, "ledger-7")
        self.assertEqual("1796336037123-ledger-7", key)
        ref = jobkey.JobRef("dublin", key)
        self.assertEqual(1796336037.123, ref.issued_s)

    def test_malformed_keys_are_refused(self):
        for name in ("", "ledger", "12-x", "1796336037123-a b"):
            self.assertRaises(jobkey.JobKeyError, jobkey.check_key, name)
