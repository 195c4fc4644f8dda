"""Tests of an agent's links with entries over loopback connections."""

import asyncio

import testtools

from egretthread.listeners import Listeners
from egretthread.scheduling import agentserver, entryserver, linkchoice
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.servercall import PollResult, Verdict
from tests.aio import free_port
from tests.platform.test_operators import until

ENTRIES = linkchoice.LINKS_PER_AGENT + 2


class SilentServer:
    """Client of a backend server that never answers."""

    async def poll(self, call):
        return PollResult(Verdict.NO_ANSWER)

    def close(self):
        pass


class TestLinks(testtools.TestCase):
    def settings(self, number, port):
        return NodeSettings(
            name=f"node-{number}",
            zone="a",
            host=f"127.0.0.{number + 1}",
            link_port=port,
            shared_key="0123456789abcdef",
            store_address="127.0.0.1:1",
            seeds=tuple(f"127.0.0.{n + 1}:1" for n in range(3)),
            shutdown_s=1.0,
        )

    def linked(self, agent):
        return {c.address for c in agent.entry_clients.values() if c.peer}

    async def run_scenario(self):
        port = free_port()
        entries = {}
        for number in range(ENTRIES):
            settings = self.settings(number, port)
            entry = entryserver.EntryServer(settings, None, Listeners())
            entries[settings.peer_address] = entry
            await entry.start()
        agent = agentserver.AgentServer(
            self.settings(ENTRIES, port), SilentServer(), None
        )
        await agent.start()
        wanted = set(
            linkchoice.choose(agent.settings.name, entries, frozenset())
        )
        await until(lambda: self.linked(agent) == wanted)
        lost = next(iter(wanted))
        await entries.pop(lost).close()
        await until(
            lambda: (
                self.linked(agent) - {lost} != wanted - {lost}
                and len(self.linked(agent)) == linkchoice.LINKS_PER_AGENT
            )
        )
        number = int(lost.partition(":")[0].rpartition(".")[2]) - 1
        settings = self.settings(number, port)
        entries[lost] = entryserver.EntryServer(settings, None, Listeners())
        await entries[lost].start()
        await until(lambda: self.linked(agent) == wanted)
        await agent.close()
        for entry in entries.values():
            await entry.close()

    def test_an_agent_links_with_a_few_entries_and_replaces_lost_ones(self):
        asyncio.run(self.run_scenario())
