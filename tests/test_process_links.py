"""Tests of stalled connections, outages of the log and partitions."""

from tests.processes import ScenarioCase


class LinksTest(ScenarioCase):
    groups = (
        ("silent-links", "silent-backend", "cut-off-entry"),
        ("outage",),
        ("one-cut-off",),
        ("all-cut-off", "stop-in-outage"),
        ("storm",),
    )

    def test_links_stall(self):
        self.check("silent-links")

    def test_connections_to_a_backend_server_stall(self):
        self.check("silent-backend")

    def test_entry_disconnected_from_log_and_peer(self):
        self.check("cut-off-entry")

    def test_log_unavailable(self):
        self.check("outage")

    def test_one_entry_disconnected_from_the_log(self):
        self.check("one-cut-off")

    def test_all_entries_disconnected_from_the_log(self):
        self.check("all-cut-off")

    def test_organisation_that_stops_during_an_outage(self):
        self.check("stop-in-outage")

    def test_random_faults_while_each_job_is_submitted_twice(self):
        self.check("storm")
