"""Tests of access tokens."""

from unittest import mock

import testtools

from egretthread import accesskey, config


class AccessKeyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.old_token, old = accesskey.make("st.dublin", "old")
        self.new_token, new = accesskey.make("st.dublin", "new")
        self.organisation = config.Organisation("st.dublin", (old, new))
        self.configuration = config.Configuration(
            organisations=(self.organisation, config.Organisation("varna"))
        )

    def test_both_valid_keys_are_accepted(self):
        for token in (self.old_token, self.new_token):
            found = accesskey.verify(self.configuration, token)
            self.assertEqual(self.organisation, found)

    def test_other_tokens_are_refused(self):
        secret = self.old_token.rpartition(".")[2]
        for token in (
            "",
            ".",
            secret,
            "st.dublin.",
            f"varna.{secret}",
            f"nobody.{secret}",
            self.old_token[:-1],
            self.old_token + "\udc80",
            self.old_token * 10,
        ):
            self.assertIsNone(accesskey.verify(self.configuration, token))

    def test_the_secret_is_not_in_the_configuration(self):
        secret = self.old_token.rpartition(".")[2]
        self.assertNotIn(secret, repr(self.configuration))

    def test_every_check_costs_the_same_number_of_hashes(self):
        for token in (self.new_token, "st.dublin.x", "varna.x", "nobody.x"):
            with mock.patch.object(
                accesskey, "digest", wraps=accesskey.digest
            ) as digest:
                accesskey.verify(self.configuration, token)
            self.assertEqual(accesskey.MAX_VALID_KEYS, digest.call_count)
