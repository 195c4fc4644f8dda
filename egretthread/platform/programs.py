"""The entry and agent processes, wired to the operators' platform."""

import asyncio

from egretthread.platform import (
    callers,
    directory,
    operators,
    servers,
)
from egretthread.platform.store import Store
from egretthread.scheduling import gauges, joblog
from egretthread.scheduling.agentserver import AgentServer
from egretthread.scheduling.entryserver import EntryServer
from egretthread.scheduling.nodesettings import NodeSettings


class Entry:
    """An entry with its adapters to the platform.

    Attributes:
        settings: Settings of the entry.
        store: Client of the store.
        server: Platform-independent part of the entry.
        feed: Follows the records that operators publish.
        announcer: Registers the entry in the store.
        log: The log of kept jobs.
        http_servers: HTTP servers for callers and readiness checks, once
            started.
        admin: Serves metrics and the state dump, once started.
    """

    def __init__(self, settings: NodeSettings):
        self.settings = settings
        self.server = EntryServer(settings, operators.decode_relay)
        self.store = Store(settings.store_address, self.server.board.samples)
        self.feed = operators.OperatorFeed(
            self.store, self.server.apply_operators
        )
        self.announcer = directory.Announcer(
            self.store,
            settings.name,
            settings.peer_address,
            self.server.add_entries,
        )
        self.log = joblog.JobLog(settings, self.store, self.server)
        self.http_servers = []
        self.admin = None

    async def start(self) -> None:
        """Starts listening and all background tasks."""
        self.http_servers = [
            callers.listen(address, handler, self.server, self.log)
            for address, handler in (
                (self.settings.callers_address, callers.CallerHandler),
                (self.settings.ready_address, callers.ReadyHandler),
            )
        ]
        await self.server.start()
        self.feed.start()
        self.announcer.start()
        self.log.start()
        if self.settings.metrics_port:
            self.admin = gauges.serve(
                self.server.board,
                self.settings.metrics_address,
                gauges.ENTRY_GAUGES,
            )

    async def close(self) -> None:
        """Shuts down after the accepted jobs have been answered."""
        await asyncio.gather(self.log.leave_group(), self.server.drain())
        for http in self.http_servers:
            http.stop()
            await http.close_all_connections()
        await self.server.close()
        await self.log.close()
        await self.announcer.close()
        await self.feed.close()
        if self.admin:
            await self.admin.close()
        self.store.close()


class Agent:
    """An agent with its adapters to the platform.

    Attributes:
        settings: Settings of the agent.
        store: Client of the store.
        server: Platform-independent part of the agent.
        http: HTTP server for the backend server's requests, once started.
        admin: Serves metrics and the state dump, once started.
    """

    def __init__(self, settings: NodeSettings):
        self.settings = settings
        self.server = AgentServer(
            settings,
            servers.BackendServerClient(settings.server_address),
            self.find_entries,
        )
        self.store = Store(settings.store_address, self.server.board.samples)
        self.http = None
        self.admin = None

    async def find_entries(self) -> tuple[str, ...]:
        """Returns the entry addresses that are registered in the store."""
        return await directory.find(self.store)

    async def start(self) -> None:
        """Starts listening and all background tasks."""
        self.http = servers.listen(
            self.settings.heartbeat_address,
            self.server.on_heartbeat,
            self.server.on_leave,
        )
        await self.server.start()
        if self.settings.metrics_port:
            self.admin = gauges.serve(
                self.server.board,
                self.settings.metrics_address,
                gauges.AGENT_GAUGES,
            )

    async def close(self) -> None:
        """Shuts down after the current runs have ended or been stopped."""
        await self.server.close()
        if self.admin:
            await self.admin.close()
        self.http.stop()
        await self.http.close_all_connections()
        self.store.close()
