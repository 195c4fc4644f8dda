"""Tests of silent connections, outages of the log and partitions."""

from tests.processes import SceneCase


class LinksTest(SceneCase):
    groups = (
        ("silent-links", "silent-backend", "cut-off-entry"),
        ("outage",),
        ("one-cut-off",),
        ("all-cut-off", "stop-in-outage"),
        ("storm",),
    )

    def test_links_fall_silent(self):
        self.check("silent-links")

    def test_connections_to_a_backend_server_fall_silent(self):
        self.check("silent-backend")

    def test_entry_cut_off_from_log_and_peer(self):
        self.check("cut-off-entry")

    def test_log_out(self):
        self.check("outage")

    def test_one_entry_cut_off_from_the_log(self):
        self.check("one-cut-off")

    def test_all_entries_cut_off_from_the_log(self):
        self.check("all-cut-off")

    def test_organisation_that_stops_in_an_outage(self):
        self.check("stop-in-outage")

    def test_faults_in_a_row_while_each_job_is_submitted_twice(self):
        self.check("storm")
