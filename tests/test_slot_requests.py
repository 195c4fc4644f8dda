"""Tests of an entry's slot requests."""

import testtools

from egretthread import entry, message, settings, witness
from egretthread.blackboard import AgentState
from egretthread.controllers import slot_requests
from tests import world

SETTINGS = settings.EntrySettings(
    name="entry-1",
    region="eire-east",
    zone="a",
    http_address="127.0.0.1:0",
    admin_address="127.0.0.1:0",
    peer_address="127.0.0.1:0",
    log_url="http://127.0.0.1:1",
    shared_key="0123456789abcdef",
)
BEAT = message.Heartbeat(
    "agent-1#1", "a", "match", 1, 1, 8, 0, True, False, 0.0, 0.0, 0
)


class WantsTest(testtools.TestCase):
    def test_request_implied_by_a_refusal_is_withdrawn(self):
        board = entry.new_board(SETTINGS, 1, 0.0, 1)
        agent = AgentState(BEAT.agent, BEAT, 0.0, 0.0, 0)
        board.agents[agent.node] = agent

        slot_requests.record_implied_request(board, agent)
        slot_requests.withdraw(board, "match")

        withdrawal = message.Want(board.node, "match", 0, 0.0, False)
        self.assertEqual([(agent.node, withdrawal)], board.outbox)
        self.assertEqual(0, agent.requested_slots)

    def test_entry_without_a_lease_withdraws_its_requests(self):
        region = world.World(3, faults=False)
        region.run(5.0 + witness.SETTLE_S)
        region.submit("e1", region.new_submission("job", 190))
        region.run(0.05)
        pairs = {frozenset(("e1", name)) for name in ("e2", "e3")}
        region.disconnect_from_log({"e1"})
        region.partition(set(), pairs)
        region.run(5.0)
        agents = [region.processes[name].board for name in region.agent_names]
        given = [board.counters["credits"] for board in agents]
        region.run(2.0)
        self.assertEqual(given, [board.counters["credits"] for board in agents])
