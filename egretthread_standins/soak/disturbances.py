"""The disturbances of a soak, by name.

Each is a coroutine function of the site and a step. One that harms the contact
of a machine, or of the store, reports its begin and its end, from which the
oracle reads which machines are in touch.
"""

import asyncio
import contextlib
import random
import signal

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite import web
from egretthread_standins.platformsite.backendserver import BackendServer
from egretthread_standins.soak.contact import STORE
from egretthread_standins.soak.scenario import CONFIGURE, Kind, Step

FOREIGN_BEAT_S = 0.4
DRAIN_S = 2.5
NEW_ROUTES = 4
TERM_LIMIT_S = 8.0


class Play:
    """A site in which disturbances are under way.

    Attributes:
        site: The site.
        busy: What a disturbance holds: names of processes, of backend servers
            (by agent) and of paths to the store. No other one gets them.
        disturbances: Number of disturbances of machines or of the store.
        changes: Number of changes of the configuration.
        servers: Number of backend servers started later.
    """

    def __init__(self, site: sites.Site):
        self.site = site
        self.busy: set[tuple[str, str]] = set()
        self.changes = 0
        self.servers = 0
        self.disturbances = 0

    @contextlib.contextmanager
    def hold(self, what: str, names: tuple[str, ...]):
        """Yields the names that no other disturbance holds."""
        free = tuple(name for name in names if (what, name) not in self.busy)
        keys = {(what, name) for name in free}
        self.busy |= keys
        try:
            yield free
        finally:
            self.busy -= keys

    @contextlib.contextmanager
    def disturb(self, kind: str, targets: tuple[str, ...]):
        """Reports the begin and the end of a disturbance of machines."""
        if not targets:
            yield
            return
        self.disturbances += 1
        number = self.disturbances
        report = {"number": number, "kind": kind, "targets": targets}
        self.site.log("disturbance", "begin", **report)
        try:
            yield
        finally:
            self.site.log("disturbance", "over", **report)

    async def restart(self, names: tuple[str, ...]) -> None:
        """Waits for the end of processes and starts them again."""
        for name in names:
            await self.site.wait_for_end(name, TERM_LIMIT_S)
        for name in names:
            self.site.start_process(name)


async def kill(play: Play, step: Step) -> None:
    """Kills processes and starts them again."""
    with (
        play.hold("process", step.targets) as names,
        play.disturb(step.kind, names),
    ):
        for name in names:
            play.site.signal(name, signal.SIGKILL)
        await asyncio.sleep(step.duration_s)
        await play.restart(names)


async def terminate(play: Play, step: Step) -> None:
    """Terminates processes, in turn or together, and starts them again."""
    with (
        play.hold("process", step.targets) as names,
        play.disturb(step.kind, names),
    ):
        if step.seed % 2:
            for name in names:
                play.site.signal(name, signal.SIGTERM)
            await play.restart(names)
        else:
            for name in names:
                play.site.signal(name, signal.SIGTERM)
                await play.restart((name,))


async def freeze(play: Play, step: Step) -> None:
    """Stops processes for a while; kills some that are stopped."""
    with (
        play.hold("process", step.targets) as names,
        play.disturb(step.kind, names),
    ):
        for name in names:
            play.site.signal(name, signal.SIGSTOP)
        await asyncio.sleep(step.duration_s)
        killed = names[: step.seed % 4 == 0]
        for name in names:
            is_killed = name in killed
            play.site.signal(
                name, signal.SIGKILL if is_killed else signal.SIGCONT
            )
        await play.restart(killed)


async def crash_server(play: Play, step: Step) -> None:
    """Crashes backend servers; others take their place."""
    await _crash(play, step, keeps_id=False)


async def return_server(play: Play, step: Step) -> None:
    """Crashes backend servers, which are back under their id."""
    await _crash(play, step, keeps_id=True)


async def _crash(play: Play, step: Step, keeps_id: bool) -> None:
    with play.hold("server", step.targets) as names:
        ids = {name: play.site.servers[name].id for name in names}
        for name in names:
            await play.site.servers[name].close()
        await asyncio.sleep(step.duration_s)
        for name in names:
            await _start_server(play, name, ids[name] if keeps_id else "")


def server_share(attribute: str):
    """Returns the disturbance that sets a share of servers' faults."""

    async def disturb(play: Play, step: Step) -> None:
        share = random.Random(step.seed).choice((0.05, 0.2, 1.0))
        servers = [play.site.servers[name] for name in step.targets]
        play.site.log("platform", step.kind, agents=step.targets, share=share)
        for server in servers:
            setattr(server, attribute, share)
        await asyncio.sleep(step.duration_s)
        for server in servers:
            setattr(server, attribute, 0.0)
        play.site.log("platform", f"{step.kind} over", agents=step.targets)

    return disturb


async def lose_stops(play: Play, step: Step) -> None:
    """Loses the calls that stop runs at backend servers."""
    play.site.log("platform", step.kind, agents=step.targets)
    servers = [play.site.servers[name] for name in step.targets]
    for server in servers:
        server.lost_paths.add("/run-stop")
    await asyncio.sleep(step.duration_s)
    for server in servers:
        server.lost_paths.discard("/run-stop")
    play.site.log("platform", f"{step.kind} over", agents=step.targets)


async def mute_server(play: Play, step: Step) -> None:
    """Makes agents' open connections to their servers silent for good."""
    play.site.log("platform", step.kind, agents=step.targets)
    for name in step.targets:
        play.site.servers[name].server.mute()


async def reset_server(play: Play, step: Step) -> None:
    """Resets agents' open connections to their servers."""
    play.site.log("platform", step.kind, agents=step.targets)
    for name in step.targets:
        play.site.servers[name].server.reset()


async def _start_server(play: Play, agent: str, server: str) -> None:
    play.servers += 1
    server = server or f"i-{play.servers:04x}f00d"
    play.site.log("platform", "server starts", agent=agent, server=server)
    await play.site.start_server(agent, server)


async def drain_server(play: Play, step: Step) -> None:
    """Drains backend servers, which leave; others take their place."""
    with play.hold("server", step.targets) as names:
        for name in names:
            server = play.site.servers[name]
            server.is_draining = True
            await server.beat()
        await asyncio.sleep(DRAIN_S)
        for name in names:
            await play.site.servers[name].leave()
        await asyncio.sleep(step.duration_s)
        for name in names:
            await _start_server(play, name, "")


def _foreign_heartbeat(
    rng: random.Random, server: BackendServer
) -> tuple[str, dict | bytes]:
    """Draws the id and the body of a heartbeat of another writer.

    One field at least is missing, of another type or names something unknown.
    """
    table = server.heartbeat(
        sequence=rng.choice((0, 1, server.sequence, server.sequence + 1000))
    )
    born = rng.choice(
        (None, 0, server.born, server.born - 5000, server.born + 5000)
    )
    if born is None:
        del table["born"]
    else:
        table["born"] = born
    if rng.random() < 0.3:
        table["address"] = "127.0.0.9:1"
    if rng.random() < 0.3:
        table["state"] = rng.choice(("ready", "draining"))
    if rng.random() < 0.3:
        table["capacity"] = {"cpu": 100, "mem_mb": 1, "gpu": 0}
    fault = rng.randrange(5)
    if fault == 0:
        table["service"] = rng.choice(("other-service", "", "Ledger-match"))
    elif fault == 1:
        table["state"] = rng.choice(("parked", "", "READY"))
    elif fault == 2:
        del table[rng.choice(("service", "address", "zone", "state"))]
    elif fault == 3:
        name = rng.choice(sorted(table))
        table[name] = rng.choice((None, True, [1], {"a": 1}, 1.5))
    body = table
    if fault == 4:
        body = rng.choice((b"\xff\xfe{", b"[]", b"{", b"", b"null"))
    return rng.choice((server.id, "i-foreign")), body


async def foreign_heartbeats(play: Play, step: Step) -> None:
    """Sends heartbeats of another writer to agents."""
    rng = random.Random(step.seed)
    end_s = play.site.now_s() + step.duration_s
    while True:
        for name in step.targets:
            server, body = _foreign_heartbeat(rng, play.site.servers[name])
            status, _ = await web.call(
                (play.site.hosts[name], play.site.control_port),
                "POST",
                f"/Instances.Heartbeat/{server}",
                body,
                timeout_s=1.0,
            )
            play.site.log(
                "writer",
                "foreign heartbeat",
                agent=name,
                server=server,
                status=status,
                body=body,
            )
        if play.site.now_s() >= end_s:
            return
        await asyncio.sleep(FOREIGN_BEAT_S)


def store_mode(mode: str):
    """Returns the disturbance that the store treats machines in a mode."""

    async def disturb(play: Play, step: Step) -> None:
        with (
            play.hold(STORE, step.targets) as names,
            play.disturb(step.kind, names),
        ):
            for name in names:
                play.site.store.modes[name] = mode
                if mode == "reset":
                    play.site.store.servers[name].reset()
            await asyncio.sleep(step.duration_s)
            for name in names:
                play.site.store.modes[name] = ""

    return disturb


async def store_down(play: Play, step: Step) -> None:
    """Takes the store down for all machines."""
    store = play.site.store
    if store.is_down:
        return
    with play.disturb(step.kind, (STORE,)):
        store.is_down = True
        await asyncio.sleep(step.duration_s)
        store.is_down = False


async def store_mute(play: Play, step: Step) -> None:
    """Makes the open connections to the store silent for good."""
    with play.disturb(step.kind, step.targets):
        for name in step.targets:
            play.site.store.servers[name].mute()


async def store_reset(play: Play, step: Step) -> None:
    """Resets the open connections to the store."""
    with play.disturb(step.kind, step.targets):
        for name in step.targets:
            play.site.store.servers[name].reset()


async def forget(play: Play, step: Step) -> None:
    """Deletes the history of the operators' records."""
    with play.disturb(step.kind, (STORE,)):
        play.site.store.forget("op")


async def reassign(play: Play, step: Step) -> None:
    """Reassigns the partitions of all groups at once."""
    with play.disturb(step.kind, (STORE,)):
        play.site.store.reassign()


async def hang_up(play: Play, step: Step) -> None:
    """Changes settings files and tells the processes with SIGHUP."""
    with (
        play.hold("process", step.targets) as names,
        play.disturb(step.kind, names),
    ):
        for name in names:
            play.site.write_settings(
                name, log_level='"debug"' if step.seed % 2 else '"info"'
            )
            if step.seed % 3:
                play.site.signal(name, signal.SIGHUP)


async def configure(play: Play, step: Step) -> None:
    """Adds a route or drops the oldest that was added."""
    if play.site.store.is_down:
        return
    play.changes += 1
    base = [r for r in play.site.routes if "extra" not in r["name"]]
    extra = [r for r in play.site.routes if "extra" in r["name"]]
    if len(extra) > NEW_ROUTES or (extra and step.seed % 2):
        del extra[step.seed // 2 % len(extra)]
    else:
        extra.append(
            {
                **sites.QUEUE,
                "name": f"extra-{play.changes}",
                "path_prefix": f"/extra-{play.changes}/",
            }
        )
    # Versions rise in uneven steps.
    version = play.site.version + 1 + step.seed % 3
    play.site.configure(version, base + extra)


# What a step does, by the name of its kind.
ACTIONS = {
    "kill": kill,
    "terminate": terminate,
    "freeze": freeze,
    "server-crash": crash_server,
    "server-return": return_server,
    "server-drain": drain_server,
    "foreign-heartbeats": foreign_heartbeats,
    "store-silent": store_mode("silent"),
    "store-busy": store_mode("busy"),
    "store-lost": store_mode("lost"),
    "store-slow": store_mode("slow"),
    "store-refusing": store_mode("reset"),
    "store-down": store_down,
    "store-mute": store_mute,
    "store-reset": store_reset,
    "store-forgets": forget,
    "store-reassigns": reassign,
    "server-late": server_share("late_share"),
    "server-answers-lost": server_share("lost_share"),
    "server-loses-stops": lose_stops,
    "server-mute": mute_server,
    "server-reset": reset_server,
    "settings": hang_up,
    CONFIGURE: configure,
}
KINDS = [
    Kind("kill", "entry", (0.0, 2.0), 2.0),
    Kind("kill", "agent", (0.0, 2.0), 2.0),
    Kind("kill", "machine", (0.02, 1.2), 0.5),
    Kind("terminate", "entry"),
    Kind("terminate", "agent"),
    Kind("freeze", "entry", (0.1, 3.5), 2.0),
    Kind("freeze", "agent", (0.1, 3.5), 2.0),
    Kind("server-crash", "agent", (0.1, 6.0), 0.75),
    Kind("server-return", "agent", (0.1, 6.0), 0.75),
    Kind("server-drain", "agent", (0.5, 2.0), 0.5),
    Kind("foreign-heartbeats", "agent", (0.0, 4.0), 2.0),
    Kind("store-silent", "machine", (0.2, 6.0)),
    Kind("store-silent", "all", (0.2, 4.0), 0.5),
    Kind("store-busy", "machine", (0.2, 6.0), 0.5),
    Kind("store-lost", "machine", (0.2, 3.0), 0.5),
    Kind("store-slow", "machine", (0.2, 4.0), 0.5),
    Kind("store-refusing", "machine", (0.2, 4.0), 0.5),
    Kind("store-down", "all", (0.5, 5.0), 0.7),
    # Entries pass on to each other what they read, so that a silence that
    # concerns some of them is seldom felt.
    Kind("store-mute", "machine", weight=0.5),
    Kind("store-mute", "all", weight=1.5),
    Kind("store-reset", "machine"),
    Kind("store-forgets", "all", weight=0.7),
    Kind("store-reassigns", "all", weight=0.7),
    Kind("server-late", "agent", (0.3, 3.0)),
    Kind("server-answers-lost", "agent", (0.3, 3.0)),
    Kind("server-loses-stops", "agent", (0.5, 4.0), gap_s=6.0),
    Kind("server-mute", "agent"),
    Kind("server-reset", "agent", weight=0.5),
    Kind("settings", "machine", weight=0.5),
    Kind(CONFIGURE, "all", weight=2.0),
]
