"""Tests of withdrawals, races of submissions and graceful shutdowns."""

from egretthread_standins.faults import races, shutdown, withdrawal
from egretthread_standins.faults.stage import SMALL
from tests.processes import SceneCase


class ChangesTest(SceneCase):
    layout = SMALL

    def test_zone_withdrawn_and_restored(self):
        self.play(withdrawal.withdraw_zone)

    def test_server_drained_and_taken_back(self):
        self.play(withdrawal.drain_server)

    def test_same_job_through_two_entries_at_once(self):
        self.play(races.race)

    def test_other_tasks_under_the_same_key(self):
        self.play(races.conflict)

    def test_entry_ended_in_mid_job(self):
        self.play(shutdown.end_entry)

    def test_agent_ended_in_mid_job(self):
        self.play(shutdown.end_agent)

    def test_entries_restarted_in_turn(self):
        self.play(shutdown.restart_entries)
