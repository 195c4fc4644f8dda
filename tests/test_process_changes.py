"""Tests of withdrawals, races, graceful shutdowns and failing servers."""

from tests.processes import ScenarioCase


class ChangesTest(ScenarioCase):
    groups = (
        ("withdraw-zone", "restart-entries"),
        ("drain-server", "race", "conflict"),
        ("end-entry", "end-agent"),
        ("fail-all", "hang", "refuse"),
    )

    def test_zone_withdrawn_and_restored(self):
        self.check("withdraw-zone")

    def test_server_drained_and_undrained(self):
        self.check("drain-server")

    def test_same_job_through_two_entries_at_once(self):
        self.check("race")

    def test_other_tasks_under_the_same_key(self):
        self.check("conflict")

    def test_entry_shut_down_while_it_runs_a_job(self):
        self.check("end-entry")

    def test_agent_shut_down_while_it_runs_tasks(self):
        self.check("end-agent")

    def test_entries_restarted_in_turn(self):
        self.check("restart-entries")

    def test_server_that_fails_every_task(self):
        self.check("fail-all")

    def test_server_that_hangs(self):
        self.check("hang")

    def test_server_that_refuses_connections(self):
        self.check("refuse")
