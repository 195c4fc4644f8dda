"""The agent process, wired to the operators' platform."""

from egretthread import adminapi
from egretthread.listeners import Listeners
from egretthread.platform import directory, servers
from egretthread.platform.store import Store
from egretthread.scheduling import agentgauges
from egretthread.scheduling.agentserver import AgentServer
from egretthread.scheduling.nodesettings import NodeSettings


class Agent:
    """An agent with its adapters to the platform.

    Attributes:
        settings: Settings of the agent.
        listeners: Its listening sockets.
        store: Client of the store.
        server: Platform-independent part of the agent.
        http: HTTP server for the backend server's requests, once started.
        admin: Serves metrics and the state dump, once started.
    """

    def __init__(
        self, settings: NodeSettings, listeners: Listeners | None = None
    ):
        self.settings = settings
        self.listeners = listeners or Listeners()
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
        self.http = servers.serve(
            self.listeners.take(self.settings.heartbeat_address),
            self.server.on_heartbeat,
            self.server.on_leave,
            self.settings.intake,
            self.server.board.counters,
        )
        await self.server.start()
        if self.settings.metrics_port:
            self.admin = adminapi.AdminServer(
                self.server.board,
                self.settings.metrics_address,
                agentgauges.GAUGES,
            )
            self.admin.start()

    async def close(self) -> None:
        """Shuts down after the current runs have ended or been stopped."""
        await self.server.close()
        if self.admin:
            await self.admin.close()
        self.http.stop()
        await self.http.close_all_connections()
        self.store.close()
