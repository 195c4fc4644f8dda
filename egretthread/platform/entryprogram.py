"""The entry process, wired to the operators' platform."""

import asyncio
import functools

from egretthread import adminapi
from egretthread.listeners import Listeners
from egretthread.platform import callers, directory, operators
from egretthread.platform.store import Store
from egretthread.scheduling import entrygauges, entryserver, joblog
from egretthread.scheduling.entryserver import EntryServer
from egretthread.scheduling.nodesettings import NodeSettings


class Entry:
    """An entry with its adapters to the platform.

    Attributes:
        settings: Settings of the entry.
        listeners: Its listening sockets.
        store: Client of the store.
        server: Platform-independent part of the entry.
        feed: Follows the records that operators publish.
        announcer: Registers the entry in the store.
        log: The log of kept jobs.
        http_servers: HTTP servers for callers and readiness checks, once
            started.
        admin: Serves metrics and the state dump, once started.
    """

    def __init__(
        self, settings: NodeSettings, listeners: Listeners | None = None
    ):
        self.settings = settings
        self.listeners = listeners or Listeners()
        self.server = EntryServer(
            settings, operators.decode_relay, self.listeners
        )
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
            serve(self.listeners.take(address), self.server, self.log)
            for address, serve in (
                (self.settings.callers_address, callers.serve),
                (self.settings.ready_address, callers.serve_readiness),
            )
        ]
        await self.server.start()
        self.feed.start()
        self.announcer.start()
        self.log.start()
        if self.settings.metrics_port:
            self.admin = adminapi.AdminServer(
                self.server.board,
                self.settings.metrics_address,
                entrygauges.GAUGES,
            )
            self.admin.metrics.refreshers += (
                functools.partial(entrygauges.set_shares, self.server.board),
                self.feed.set_age,
            )
            self.admin.start()

    async def close(self) -> None:
        """Shuts down after the accepted jobs have been answered."""
        await asyncio.gather(self.log.leave_group(), self.server.drain())
        if self.server.open_requests:
            self.log.give_up()
            await asyncio.sleep(entryserver.FLUSH_S)
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
