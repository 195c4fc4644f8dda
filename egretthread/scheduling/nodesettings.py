"""Settings of the entry and the agent of the scheduling path, in TOML."""

import dataclasses
import pathlib

from egretthread import settings, util
from egretthread.settings import LOG_LEVELS, MIN_SHARED_KEY_CHARS


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        name: Name of the instance, unique in the deployment.
        zone: Availability zone it runs in.
        host: IP number of the instance.
        link_port: Port for links between the system's processes.
        shared_key: Key that the system's processes prove to one another.
        store_address: `host:port` of the platform's store.
        store_parts: Partitions of a topic there.
        store_writes_per_s: Writes that it takes from all processes together.
        seeds: `host:port` of instances that may hold entries.
        callers_address: `host:port` for callers; empty for an agent.
        ready_address: `host:port` for readiness checks; empty for an agent.
        heartbeat_address: `host:port` for the backend server's heartbeats;
            empty for an entry.
        server_address: `host:port` of the backend server; empty for an entry.
        metrics_port: Port for metrics and the state dump; 0 for none.
        remote_factor: How many times as long a task takes on a rack that is
            not its data's.
        shutdown_s: Time in which a graceful shutdown must be over.
        keepalive_s: Longest time without sending on a link.
        liveness_s: Time without receiving after which a link is closed.
        tls_cert: Certificate file; empty for plain TCP.
        tls_key: Private key file of the certificate.
        tls_ca: Certificate authority file that peers are verified by.
        log_level: Least severity that is logged.
    """

    name: str
    zone: str
    host: str
    link_port: int
    shared_key: str = dataclasses.field(repr=False)
    store_address: str
    store_parts: int = 12
    store_writes_per_s: float = 800.0
    seeds: tuple[str, ...] = ()
    callers_address: str = ""
    ready_address: str = ""
    heartbeat_address: str = ""
    server_address: str = ""
    metrics_port: int = 0
    remote_factor: float = 2.0
    shutdown_s: float = 6.0
    keepalive_s: float = 1.0
    liveness_s: float = 2.5
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    log_level: str = "info"

    @property
    def peer_address(self) -> str:
        """`host:port` at which the process accepts links."""
        return f"{self.host}:{self.link_port}"

    @property
    def metrics_address(self) -> str:
        """`host:port` of metrics and the state dump."""
        return f"{self.host}:{self.metrics_port}"

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """`host:port` of the links of the seeds."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.link_port}" for host in hosts if host)


def load_entry(path: str | pathlib.Path) -> NodeSettings:
    """Reads and checks the settings of an entry.

    Raises:
        util.OptionError: The file holds faults; all of them are listed.
    """
    return _load(path, ("callers_address", "ready_address"))


def load_agent(path: str | pathlib.Path) -> NodeSettings:
    """Reads and checks the settings of an agent.

    Raises:
        util.OptionError: The file holds faults; all of them are listed.
    """
    return _load(path, ("heartbeat_address", "server_address"))


def _load(path: str | pathlib.Path, needed: tuple[str, ...]) -> NodeSettings:
    checker = util.OptionChecker()
    table = settings.read_table(pathlib.Path(path), checker)
    checker.finish(str(path))
    values = {}
    for field in dataclasses.fields(NodeSettings):
        required = field.name in needed
        given = table.get(field.name)
        if given is None and not required and not _is_required(field):
            continue
        values[field.name] = _check(checker, table, field, required)
    # Keys that are not known are left alone: the platform may add some.
    if len(values.get("shared_key", "")) < MIN_SHARED_KEY_CHARS:
        checker.fault(
            "shared_key", "(hidden)", f"give {MIN_SHARED_KEY_CHARS} characters"
        )
    checker.finish(str(path))
    return NodeSettings(**values)


def _is_required(field: dataclasses.Field) -> bool:
    return field.default is dataclasses.MISSING


def _check(
    checker: util.OptionChecker,
    table: dict,
    field: dataclasses.Field,
    required: bool,
):
    name = field.name
    if name == "seeds":
        return tuple(str(seed) for seed in table.get(name, ()))
    if name == "log_level":
        return checker.choice(table, name, name, LOG_LEVELS)
    if field.type is int:
        return checker.integer(table, name, name, maximum=settings.MAX_PORT)
    if field.type is float:
        return checker.number(table, name, name, minimum=0.01)
    if table.get(name) == "" and not required:
        return ""
    return checker.text(table, name, name)
