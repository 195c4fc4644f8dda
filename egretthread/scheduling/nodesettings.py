"""Settings of entry and agent processes of the scheduling path, in TOML."""

import dataclasses
import pathlib

from egretthread import intake, settings, util
from egretthread.intake import IntakeLimits
from egretthread.scheduling import loadsettings
from egretthread.scheduling.loadsettings import LoadSettings
from egretthread.settings import LOG_LEVELS, MIN_SHARED_KEY_CHARS

# Smallest limits of a process with which it can work.
MIN_LIMITS = {"memory_mb": 64, "max_fds": 512}


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        name: Name of the instance, unique in the deployment.
        zone: Availability zone it runs in.
        host: IP address of the instance.
        link_port: Port for links between the system's processes.
        shared_key: Secret key by which the system's processes authenticate one
            another.
        store_address: `host:port` of the platform's store.
        store_parts: Number of partitions of a topic in the store.
        store_writes_per_s: Maximum rate of writes to the store, by all
            processes together.
        seeds: `host:port` of instances on which entries may run.
        callers_address: `host:port` for callers; empty for an agent.
        ready_address: `host:port` for readiness checks; empty for an agent.
        heartbeat_address: `host:port` for the backend server's heartbeats;
            empty for an entry.
        server_address: `host:port` of the backend server; empty for an entry.
        metrics_port: Port for metrics and the state dump; 0 for none.
        memory_mb: Memory limit of the process in MB.
        max_fds: Limit on the open descriptors of the process.
        remote_factor: Factor by which a task takes longer on a rack that does
            not hold its data.
        shutdown_s: Maximum duration of a graceful shutdown.
        keepalive_s: Maximum time without sending on a link.
        liveness_s: Time without receiving after which a link is closed.
        max_handshakes: Maximum number of connections to the link port whose
            other end has not proved the key yet.
        tls_cert: Certificate file; empty for plain TCP.
        tls_key: Private key file of the certificate.
        tls_ca: Certificate authority file for verifying peers.
        log_level: Minimum severity that is logged.
        load: Decisions under load.
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
    memory_mb: int = 128
    max_fds: int = 3075
    remote_factor: float = 2.0
    shutdown_s: float = 6.0
    keepalive_s: float = 1.0
    liveness_s: float = 2.5
    max_handshakes: int = settings.MAX_HANDSHAKES
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    log_level: str = "info"
    load: LoadSettings = LoadSettings()

    @property
    def peer_address(self) -> str:
        """`host:port` at which the process accepts links."""
        return f"{self.host}:{self.link_port}"

    @property
    def metrics_address(self) -> str:
        """`host:port` of metrics and the state dump."""
        return f"{self.host}:{self.metrics_port}"

    @property
    def intake(self) -> IntakeLimits:
        """Limits on the requests of callers or of the backend server."""
        return intake.limits_of(self.memory_mb, self.max_fds)

    @property
    def served_addresses(self) -> tuple[str, ...]:
        """`host:port` of all addresses at which other processes call.

        An agent accepts no links.
        """
        if self.heartbeat_address:
            return (self.heartbeat_address,)
        return (self.callers_address, self.ready_address, self.peer_address)

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """`host:port` at which the seeds accept links."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.link_port}" for host in hosts if host)


def load_entry(path: str | pathlib.Path) -> NodeSettings:
    """Reads and validates the settings of an entry.

    Raises:
        util.OptionError: Settings are invalid; the error lists all of them.
    """
    return _load(path, ("callers_address", "ready_address"))


def load_agent(path: str | pathlib.Path) -> NodeSettings:
    """Reads and validates the settings of an agent.

    Raises:
        util.OptionError: Settings are invalid; the error lists all of them.
    """
    return _load(path, ("heartbeat_address", "server_address"))


def _load(
    path: str | pathlib.Path, required_names: tuple[str, ...]
) -> NodeSettings:
    checker = util.OptionChecker()
    table = settings.read_table(pathlib.Path(path), checker)
    checker.finish(str(path))
    values = {}
    for field in dataclasses.fields(NodeSettings):
        required = field.name in required_names
        value = table.get(field.name)
        if value is None and not required and not _is_required(field):
            continue
        values[field.name] = _check(checker, table, field, required)
    # Unknown keys are ignored, since the platform may add some.
    if len(values.get("shared_key", "")) < MIN_SHARED_KEY_CHARS:
        checker.fault(
            "shared_key",
            "(hidden)",
            f"give at least {MIN_SHARED_KEY_CHARS} characters",
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
    if name == "load":
        load = table.get(name)
        if isinstance(load, dict):
            return loadsettings.check(checker, load)
        checker.fault(name, load, "write a table [load]")
        return LoadSettings()
    if name == "seeds":
        return tuple(str(seed) for seed in table.get(name, ()))
    if name == "log_level":
        return checker.choice(table, name, name, LOG_LEVELS)
    if name == "max_handshakes":
        return checker.integer(table, name, name, minimum=1)
    if name in MIN_LIMITS:
        return checker.integer(table, name, name, minimum=MIN_LIMITS[name])
    if field.type is int:
        return checker.integer(table, name, name, maximum=settings.MAX_PORT)
    if field.type is float:
        return checker.number(table, name, name, minimum=0.01)
    if table.get(name) == "" and not required:
        return ""
    value = checker.text(table, name, name)
    if value and name.endswith("_address"):
        settings.check_address(checker, name, value)
    return value
