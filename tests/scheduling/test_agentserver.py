"""Tests of an agent's links with entries over loopback connections."""

import asyncio
import itertools

import testtools

from egretthread import link
from egretthread.listeners import Listeners
from egretthread.scheduling import agentserver, entryserver, linkchoice
from egretthread.scheduling.agentboard import ServerRecord
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import SettleEnds
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


async def nothing_registered():
    return ()


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
            self.settings(ENTRIES, port), SilentServer(), nothing_registered
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

    async def run_held_end(self):
        port = free_port()
        entries = {}
        for number in range(ENTRIES):
            settings = self.settings(number, port)
            entry = entryserver.EntryServer(settings, None, Listeners())
            entries[settings.peer_address] = entry
            await entry.start()
        agent = agentserver.AgentServer(
            self.settings(ENTRIES, port), SilentServer(), nothing_registered
        )
        await agent.start()
        wanted = set(linkchoice.choose(agent.settings.name, entries, ()))
        await until(lambda: self.linked(agent) == wanted)
        other = min(entries.keys() - wanted)
        agent.board.server = ServerRecord(
            "i", 1, "match", "a", (), Room(1, 1, 0), False, 0.0, 1
        )
        told = SettleEnds("i@1", (), (), (other,))
        entry = entries[min(wanted)]
        entry.agent_links.send(agent.board.node, told)
        await until(lambda: self.linked(agent) == wanted | {other})
        agent.board.wanted_links[other] = 0.0
        await until(lambda: self.linked(agent) == wanted)
        await agent.close()
        for entry in entries.values():
            await entry.close()

    # Guards against a second run of a task that is done, as its end was held by
    # an agent without a link to the coordinator of its job.
    def test_an_agent_links_with_the_coordinator_of_a_held_end(self):
        asyncio.run(self.run_held_end())

    def test_an_agent_links_with_a_few_entries_and_replaces_lost_ones(self):
        asyncio.run(self.run_scenario())

    async def run_start(self, find_entries):
        """Returns the entries selected, and all that a link was opened to."""
        port = free_port()
        entries = {}
        for number in range(ENTRIES):
            settings = self.settings(number, port)
            entry = entryserver.EntryServer(settings, None, Listeners())
            entries[settings.peer_address] = entry
            await entry.start()
        opened = set()
        start = link.LinkClient.start

        def record(client):
            if client.role == "agent":
                opened.add(client.address)
            start(client)

        self.patch(link.LinkClient, "start", record)
        # An agent that does not select all of the seeds.
        for number in itertools.count(ENTRIES):
            settings = self.settings(number, port)
            wanted = set(linkchoice.choose(settings.name, entries, frozenset()))
            if not set(settings.seed_peers) <= wanted:
                break
        agent = agentserver.AgentServer(
            settings, SilentServer(), lambda: find_entries(entries)
        )
        await agent.start()
        await until(lambda: self.linked(agent) == wanted)
        await agent.close()
        for entry in entries.values():
            await entry.close()
        return wanted, opened

    def test_an_agent_links_only_with_its_own_entries_from_the_start(self):
        """Load pattern: all agents start again at once.

        From the seeds alone, every one of them would begin at the same three
        entries.
        """

        async def find(entries):
            return tuple(entries)

        wanted, opened = asyncio.run(self.run_start(find))
        self.assertEqual(wanted, opened)

    def test_an_agent_starts_from_the_seeds_while_the_store_is_silent(self):
        async def find(entries):
            await asyncio.sleep(30)

        wanted, opened = asyncio.run(self.run_start(find))
        self.assertLessEqual(wanted, opened)
