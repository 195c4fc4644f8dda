"""Tests of backend servers that fail, hang or refuse."""

from egretthread_standins.faults import servers
from egretthread_standins.faults.stage import RELAYED
from tests.processes import SceneCase


class ServersTest(SceneCase):
    layout = RELAYED

    def test_server_that_fails_everything(self):
        self.play(servers.fail_all)

    def test_server_that_hangs(self):
        self.play(servers.hang)

    def test_server_that_refuses_connections(self):
        self.play(servers.refuse)
