"""Tests of silent connections, outages of the log and partitions."""

from egretthread_standins.faults import links, outages
from egretthread_standins.faults.stage import RELAYED
from tests.processes import SceneCase


class LinksTest(SceneCase):
    layout = RELAYED

    def test_links_fall_silent(self):
        self.play(links.silent_links)

    def test_connections_to_a_backend_server_fall_silent(self):
        self.play(links.silent_backend)

    def test_entry_cut_off_from_log_and_peer(self):
        self.play(links.cut_off_entry)


class OutagesTest(SceneCase):
    layout = RELAYED

    def test_log_out(self):
        self.play(outages.outage)

    def test_one_entry_cut_off_from_the_log(self):
        self.play(outages.one_cut_off)

    def test_all_entries_cut_off_from_the_log(self):
        self.play(outages.all_cut_off)

    def test_organisation_that_stops_in_an_outage(self):
        self.play(outages.stop_in_outage)
