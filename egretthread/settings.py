"""Settings of the entry and agent processes, read from TOML files."""

import dataclasses
import ipaddress
import pathlib
import re
import tomllib
import urllib.parse
from collections.abc import Callable, Mapping

from egretthread import util

NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
MIN_SHARED_KEY_CHARS = 16
MAX_PORT = 65_535
# Maximum number of connections to a link port without a complete handshake.
# All other processes of a large site may connect to an entry at once.
MAX_HANDSHAKES = 512
LOG_LEVELS = ("debug", "info", "warning", "error")
HIDDEN = "(hidden)"

# A check takes the checker, the document, the key and the default (None when
# the option is required) and returns the value.
Check = Callable[[util.OptionChecker, dict, str, object], object]


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes:
        name: Name of the instance, unique in the region.
        region: Region the entry serves.
        zone: Availability zone the entry runs in.
        http_address: `host:port` for callers; port 0 selects a free port.
        admin_address: `host:port` for metrics and the state dump.
        peer_address: `host:port` for agents and other entries.
        log_url: URL of the platform's log service.
        shared_key: Key by which the processes authenticate one another.
        config_stream: Log stream of the operators' configuration.
        members_stream: Log stream of the members.
        advertised_address: `host:port` at which agents and other entries
            reach this entry, if it differs from the peer address; else empty.
        tls_cert: Certificate file; empty for plain TCP.
        tls_key: Private key file of the certificate.
        tls_ca: Certificate authority file for verifying peers.
        heartbeat_s: Interval of the state messages to other entries.
        lease_s: Duration of a configuration lease.
        suspect_after_s: Silence after which a node gets no new work.
        dead_after_s: Silence after which a node is considered dead.
        keepalive_s: Longest time without sending on a link.
        liveness_s: Time without receiving after which a link is closed.
        max_handshakes: Maximum number of connections to the peer address
            whose other end has not proved the key yet.
        shutdown_s: Longest duration of a graceful shutdown.
        log_level: Lowest severity that is logged.
    """

    name: str
    region: str
    zone: str
    http_address: str
    admin_address: str
    peer_address: str
    log_url: str
    shared_key: str = dataclasses.field(repr=False)
    config_stream: str = "config"
    members_stream: str = "members"
    advertised_address: str = ""
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    heartbeat_s: float = 1.0
    lease_s: float = 3.0
    suspect_after_s: float = 3.0
    dead_after_s: float = 6.0
    keepalive_s: float = 1.0
    liveness_s: float = 3.0
    max_handshakes: int = MAX_HANDSHAKES
    shutdown_s: float = 30.0
    log_level: str = "info"


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """Settings of an agent process.

    Attributes:
        name: Name of the instance, unique in the region.
        region: Region the agent serves.
        zone: Availability zone of the worker.
        service: Service that the backend server runs.
        admin_address: `host:port` for metrics and the state dump.
        backend_url: URL of the backend server.
        entries: `host:port` of the entries to connect to first.
        shared_key: Key by which the processes authenticate one another.
        processors: Number of processors of the worker.
        memory_bytes: Memory of the worker.
        slots: Number of tasks that the backend server runs at once.
        connections: Largest number of HTTP connections to the backend server.
        entry_fanout: Number of entries that the agent keeps a link with.
        tls_cert: Client certificate file; empty for none.
        tls_key: Private key file of the certificate.
        tls_ca: Certificate authority file for verifying entries.
        heartbeat_s: Interval of the heartbeats.
        keepalive_s: Longest time without sending on a link.
        liveness_s: Time without receiving after which a link is closed.
        shutdown_s: Longest duration of a graceful shutdown.
        backend_health_path: Path of the backend server's health check.
        log_level: Lowest severity that is logged.
    """

    name: str
    region: str
    zone: str
    service: str
    admin_address: str
    backend_url: str
    entries: tuple[str, ...]
    shared_key: str = dataclasses.field(repr=False)
    processors: int
    memory_bytes: int
    slots: int = 8
    connections: int = 64
    entry_fanout: int = 3
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    heartbeat_s: float = 1.0
    keepalive_s: float = 1.0
    liveness_s: float = 3.0
    shutdown_s: float = 30.0
    backend_health_path: str = "/health"
    log_level: str = "info"


def load_entry(path: str | pathlib.Path) -> EntrySettings:
    """Reads and checks the settings of an entry.

    Raises:
        util.OptionError: The file holds faults; all of them are listed.
    """
    return _load(path, EntrySettings, ENTRY_CHECKS)


def load_agent(path: str | pathlib.Path) -> AgentSettings:
    """Reads and checks the settings of an agent.

    Raises:
        util.OptionError: The file holds faults; all of them are listed.
    """
    return _load(path, AgentSettings, AGENT_CHECKS)


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of `host:port`; the host is an IP address.

    Raises:
        ValueError: The address does not have that form.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"{port!r} is not a port number")
    return host, int(port)


def join_address(host: str, port: int) -> str:
    """Returns `host:port`, with brackets around an IPv6 host."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _load(
    path: str | pathlib.Path, data_class: type, checks: Mapping[str, Check]
) -> EntrySettings | AgentSettings:
    path = pathlib.Path(path)
    checker = util.OptionChecker()
    document = read_table(path, checker)
    checker.finish(str(path))
    _read_key_file(document, path.parent, checker)
    values = {
        field.name: checks[field.name](
            checker, document, field.name, _default(field)
        )
        for field in dataclasses.fields(data_class)
    }
    checker.unknown_keys(document, "", (*checks, "shared_key_file"))
    _check_tls(checker, values)
    _check_order(checker, values)
    checker.finish(str(path))
    return data_class(**values)


def _default(field: dataclasses.Field) -> object:
    return None if field.default is dataclasses.MISSING else field.default


def read_table(path: pathlib.Path, checker: util.OptionChecker) -> dict:
    """Returns the table in a TOML file; records a fault if it is unreadable."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        checker.fault("file", str(path), f"give a readable file ({error})")
    except tomllib.TOMLDecodeError as error:
        checker.fault("file", str(path), f"correct the TOML ({error})")
    return {}


def _read_key_file(
    document: dict, directory: pathlib.Path, checker: util.OptionChecker
) -> None:
    key_file = document.get("shared_key_file")
    if key_file is None:
        return
    if "shared_key" in document:
        checker.fault(
            "shared_key", HIDDEN, "give shared_key or shared_key_file"
        )
        return
    # Prevents a second fault for the missing shared_key.
    document["shared_key"] = "x" * MIN_SHARED_KEY_CHARS
    try:
        text = (directory / key_file).read_text(encoding="utf-8").strip()
    except (OSError, TypeError, UnicodeDecodeError):
        checker.fault("shared_key_file", key_file, "give a readable file")
        return
    document["shared_key"] = text


def _text(checker, table, key, default):
    return checker.text(table, key, key, default)


def _name(checker, table, key, default):
    value = checker.text(table, key, key, default)
    if value and not NAME_PATTERN.fullmatch(value):
        checker.fault(
            key, value, "give 1 to 64 of the characters A-Z a-z 0-9 . _ -"
        )
    return value


def _address(checker, table, key, default):
    value = checker.text(table, key, key, default)
    if value:
        check_address(checker, key, value)
    return value


def _optional_address(checker, table, key, default):
    value = table.get(key, default)
    if value != "":
        check_address(checker, key, value)
    return value


def check_address(checker, key, value):
    """Records a fault unless a value is an IP address and a port."""
    try:
        split_address(value)
    except (ValueError, AttributeError):
        checker.fault(key, value, "give an IP address and port, host:port")


def _addresses(checker, table, key, default):
    value = table.get(key, default)
    if not isinstance(value, list) or not value:
        checker.fault(
            key, value, "give a list of IP addresses and ports, host:port"
        )
        return ()
    for index, address in enumerate(value):
        check_address(checker, f"{key}[{index}]", address)
    return tuple(value)


def _url(checker, table, key, default):
    value = checker.text(table, key, key, default)
    try:
        parts = urllib.parse.urlsplit(value)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        valid = False
    if value and not valid:
        checker.fault(key, value, "give an http:// or https:// URL")
    return value.rstrip("/")


def _path(checker, table, key, default):
    value = checker.text(table, key, key, default)
    if value and not value.startswith("/"):
        checker.fault(key, value, "start the path with /")
    return value


def _file(checker, table, key, default):
    value = table.get(key, default)
    if not isinstance(value, str):
        checker.fault(key, value, "give a file name, or leave it out")
        return ""
    if value and not pathlib.Path(value).is_file():
        checker.fault(key, value, "give a file that exists")
    return value


def _shared_key(checker, table, key, default):
    value = table.get(key, default)
    if not isinstance(value, str) or len(value) < MIN_SHARED_KEY_CHARS:
        checker.fault(
            key, HIDDEN, f"give {MIN_SHARED_KEY_CHARS} characters or more"
        )
        return ""
    return value


def _duration(checker, table, key, default):
    return float(checker.number(table, key, key, default, 0.01, 3600.0))


def _count(checker, table, key, default):
    return checker.integer(table, key, key, default, 1)


def _log_level(checker, table, key, default):
    return checker.choice(table, key, key, LOG_LEVELS, default)


def _check_tls(checker: util.OptionChecker, values: dict) -> None:
    if bool(values["tls_cert"]) != bool(values["tls_key"]):
        checker.fault(
            "tls_cert",
            values["tls_cert"],
            "give both tls_cert and tls_key, or neither",
        )


def _check_order(checker: util.OptionChecker, values: dict) -> None:
    faulty = {fault.key for fault in checker.faults}
    for shorter, longer in ORDERED_DURATIONS:
        pair = {shorter, longer}
        if pair & faulty or not pair <= values.keys():
            continue
        if values[shorter] >= values[longer]:
            checker.fault(
                longer, values[longer], f"give a longer time than {shorter}"
            )


# Pairs of options of which the first must be shorter than the second.
ORDERED_DURATIONS = (
    ("keepalive_s", "liveness_s"),
    ("heartbeat_s", "lease_s"),
    ("heartbeat_s", "suspect_after_s"),
    ("suspect_after_s", "dead_after_s"),
)

COMMON_CHECKS: dict[str, Check] = {
    "name": _name,
    "region": _name,
    "zone": _name,
    "admin_address": _address,
    "shared_key": _shared_key,
    "tls_cert": _file,
    "tls_key": _file,
    "tls_ca": _file,
    "heartbeat_s": _duration,
    "keepalive_s": _duration,
    "liveness_s": _duration,
    "shutdown_s": _duration,
    "log_level": _log_level,
}

ENTRY_CHECKS: dict[str, Check] = {
    **COMMON_CHECKS,
    "http_address": _address,
    "peer_address": _address,
    "advertised_address": _optional_address,
    "log_url": _url,
    "config_stream": _name,
    "members_stream": _name,
    "lease_s": _duration,
    "suspect_after_s": _duration,
    "dead_after_s": _duration,
    "max_handshakes": _count,
}

AGENT_CHECKS: dict[str, Check] = {
    **COMMON_CHECKS,
    "service": _name,
    "backend_url": _url,
    "entries": _addresses,
    "processors": _count,
    "memory_bytes": _count,
    "slots": _count,
    "connections": _count,
    "entry_fanout": _count,
    "backend_health_path": _path,
}
