"""Tests of the settings files."""

import dataclasses
import pathlib
import tempfile

import testtools
import tomli_w

from egretthread import settings, util

ENTRY = {
    "name": "entry-1",
    "region": "eire-east",
    "zone": "zone-a",
    "http_address": "127.0.0.1:8080",
    "admin_address": "127.0.0.1:0",
    "peer_address": "[::1]:7000",
    "log_url": "http://127.0.0.1:9000/",
    "shared_key": "sixteen characters",
}
AGENT = {
    "name": "agent-1",
    "region": "eire-east",
    "zone": "zone-a",
    "service": "ledger-match",
    "admin_address": "127.0.0.1:0",
    "backend_url": "http://127.0.0.1:9100",
    "entries": ["10.0.0.1:7000", "10.0.0.2:7000"],
    "shared_key": "sixteen characters",
    "processors": 32,
    "memory_bytes": 2**37,
}


class SettingsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, document):
        path = self.directory / "settings.toml"
        path.write_text(tomli_w.dumps(document))
        return path

    def faults(self, load, document):
        """Returns the keys of a document that hold faults."""
        error = self.assertRaises(util.OptionError, load, self.write(document))
        return sorted(fault.key for fault in error.faults)

    def test_entry_takes_its_defaults(self):
        loaded = settings.load_entry(self.write(ENTRY))
        self.assertEqual("http://127.0.0.1:9000", loaded.log_url)
        self.assertEqual(3.0, loaded.lease_s)
        self.assertEqual("config", loaded.config_stream)

    def test_every_agent_option_can_be_set(self):
        changes = {
            "slots": 4,
            "connections": 32,
            "entry_fanout": 2,
            "heartbeat_s": 0.5,
            "keepalive_s": 0.5,
            "liveness_s": 2,
            "shutdown_s": 10,
            "backend_health_path": "/ready",
            "log_level": "debug",
            "tls_ca": __file__,
        }
        loaded = settings.load_agent(self.write(AGENT | changes))
        expected = AGENT | changes | {"entries": tuple(AGENT["entries"])}
        self.assertEqual(
            expected | {"tls_cert": "", "tls_key": ""},
            dataclasses.asdict(loaded),
        )

    def test_all_faults_are_listed_at_once(self):
        faulty = {
            "name": "entry 1",
            "http_address": "localhost:80",
            "peer_address": "127.0.0.1:70000",
            "admin_address": "127.0.0.1",
            "log_url": "ftp://127.0.0.1",
            "shared_key": "short",
            "lease_s": "3",
            "dead_after_s": 1.0,
            "log_level": "loud",
            "tls_cert": __file__,
            "colour": "red",
        }
        found = self.faults(settings.load_entry, ENTRY | faulty)
        self.assertEqual(sorted(faulty), found)

    def test_missing_options_are_faults(self):
        found = self.faults(settings.load_agent, {})
        self.assertEqual(sorted(AGENT), found)

    def test_agent_addresses_are_checked_one_by_one(self):
        document = AGENT | {"entries": ["10.0.0.1:7000", "entry:1", 5]}
        found = self.faults(settings.load_agent, document)
        self.assertEqual(["entries[1]", "entries[2]"], found)

    def test_shared_key_is_read_from_a_file(self):
        (self.directory / "key").write_text("key of the key file\n")
        document = ENTRY | {"shared_key_file": "key"}
        found = self.faults(settings.load_entry, document)
        self.assertEqual(["shared_key"], found)
        del document["shared_key"]
        loaded = settings.load_entry(self.write(document))
        self.assertEqual("key of the key file", loaded.shared_key)
        document["shared_key_file"] = "absent"
        found = self.faults(settings.load_entry, document)
        self.assertEqual(["shared_key_file"], found)

    def test_shared_key_is_never_shown(self):
        loaded = settings.load_entry(self.write(ENTRY))
        self.assertNotIn("sixteen", repr(loaded))
        document = ENTRY | {"shared_key": "too short"}
        error = self.assertRaises(
            util.OptionError, settings.load_entry, self.write(document)
        )
        self.assertNotIn("too short", str(error))

    def test_unreadable_files_are_faults(self):
        path = self.directory / "absent.toml"
        self.assertRaises(util.OptionError, settings.load_entry, path)
        path.write_text("name = ")
        self.assertRaises(util.OptionError, settings.load_entry, path)
