"""Tests of configuration edits and of the differences that they make."""

import testtools

from egretthread import config, configdiff, configedit

BASE = config.Configuration(
    organisations=(config.Organisation("dublin"),),
    services=(config.Service("ledger-match", ("dublin",), "eire-east"),),
    zones=tuple(
        config.AvailabilityZone(name, "eire-east") for name in ("a", "b")
    ),
)


def key(name: str) -> config.AccessKey:
    """Returns an access key with a name."""
    return config.AccessKey(name, "0" * 32, "0" * 64)


class ConfigEditTest(testtools.TestCase):
    def test_zone_is_withdrawn_and_restored(self):
        withdrawn = configedit.withdraw_zone(BASE, "a")
        self.assertEqual(
            ("zones.a.withdrawn: False -> True",),
            configdiff.diff(BASE, withdrawn),
        )
        self.assertEqual(BASE, configedit.restore_zone(withdrawn, "a"))

    def test_server_is_drained_and_undrained(self):
        draining = configedit.drain_server(BASE, "agent-1")
        self.assertEqual(draining, configedit.drain_server(draining, "agent-1"))
        self.assertEqual(
            ("draining_servers: +agent-1",), configdiff.diff(BASE, draining)
        )
        self.assertEqual(BASE, configedit.undrain_server(draining, "agent-1"))

    def test_rotation_keeps_two_keys(self):
        edited = BASE
        for name in ("first", "second", "third"):
            edited = configedit.rotate_key(edited, "dublin", key(name))
        self.assertEqual(
            ("organisations.dublin.access_keys: +second +third",),
            configdiff.diff(BASE, edited),
        )
        retired = configedit.retire_key(edited, "dublin", "second")
        [left] = retired.organisation("dublin").access_keys
        self.assertEqual("third", left.name)

    def test_resources_are_added_replaced_and_removed(self):
        varna = config.Organisation("varna")
        added = configedit.put_organisation(BASE, varna)
        self.assertEqual(
            ("organisations.varna added",), configdiff.diff(BASE, added)
        )
        removed = configedit.remove_organisation(added, "varna")
        self.assertEqual(BASE, removed)
        service = config.Service("ledger-match", ("dublin",), "eire-east", 4)
        self.assertEqual(
            ("services.ledger-match.slots: 8 -> 4",),
            configdiff.diff(BASE, configedit.put_service(BASE, service)),
        )
        smaller = configedit.remove_zone(BASE, "b")
        self.assertEqual(("zones.b removed",), configdiff.diff(BASE, smaller))

    def test_unknown_names_are_refused(self):
        for edit in (
            configedit.withdraw_zone,
            configedit.restore_zone,
            configedit.undrain_server,
            configedit.remove_service,
        ):
            self.assertRaises(
                configedit.UnknownNameError, edit, BASE, "nowhere"
            )
        self.assertRaises(
            configedit.UnknownNameError,
            configedit.retire_key,
            BASE,
            "dublin",
            "lost",
        )
