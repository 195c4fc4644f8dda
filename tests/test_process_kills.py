"""Tests of jobs whose processes are killed or paused."""

from egretthread_standins.faults import kills, pauses
from egretthread_standins.faults.stage import SMALL
from tests.processes import SceneCase


class KillsTest(SceneCase):
    layout = SMALL

    def test_coordinator_killed(self):
        self.play(kills.kill_coordinator)

    def test_agent_killed(self):
        self.play(kills.kill_agent)

    def test_coordinator_and_agent_killed(self):
        self.play(kills.kill_both)

    def test_coordinator_paused_while_another_takes_over(self):
        self.play(pauses.pause_coordinator)


class PausedAgentTest(SceneCase):
    layout = pauses.ONE_CONNECTION

    def test_agent_paused_longer_than_its_lease(self):
        self.play(pauses.pause_agent)
