"""Tests of jobs whose processes are killed or paused."""

from tests.processes import ScenarioCase


class KillsTest(ScenarioCase):
    groups = (
        ("kill-coordinator", "kill-agent"),
        ("kill-both", "pause-coordinator"),
        ("pause-agent",),
    )

    def test_coordinator_killed(self):
        self.check("kill-coordinator")

    def test_agent_killed(self):
        self.check("kill-agent")

    def test_coordinator_and_agent_killed(self):
        self.check("kill-both")

    def test_coordinator_paused_while_another_takes_over(self):
        self.check("pause-coordinator")

    def test_agent_paused_longer_than_its_lease(self):
        self.check("pause-agent")
