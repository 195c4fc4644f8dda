"""Reads, validates and writes the configuration as TOML text."""

import collections
import dataclasses
import re
import tomllib
from collections.abc import Callable, Iterable

import tomli_w

from egretthread import accesskey, config, util

SOURCE = "configuration"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_REMEDY = (
    "give 1 to 64 of the characters A-Z a-z 0-9 . _ -, beginning with a letter"
    " or digit"
)
SALT_PATTERN = re.compile(r"[0-9a-f]{32}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
OUTAGE_CHOICES = ("continue", "stop")
# Job keys are kept for one more deadline after the longest job has ended.
MAX_DEADLINE_SHARE = 0.5

Reader = Callable[[util.OptionChecker, dict, str], object]


def dumps(configuration: config.Configuration) -> str:
    """Returns the TOML text of a configuration."""
    return tomli_w.dumps(dataclasses.asdict(configuration))


def loads(text: str) -> config.Configuration:
    """Returns the configuration in TOML text.

    Raises:
        util.OptionError: The text holds faults; the error names them all.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = util.Fault("text", str(error), "write valid TOML")
        raise util.OptionError(SOURCE, (fault,)) from error
    return read_checked(table)


def check(configuration: config.Configuration) -> None:
    """Validates a configuration.

    Raises:
        util.OptionError: It holds faults; the error names them all.
    """
    read_checked(dataclasses.asdict(configuration))


def read_checked(table: dict) -> config.Configuration:
    """Returns the validated configuration in a table."""
    checker = util.OptionChecker()
    configuration = read_configuration(checker, table)
    check_names(checker, configuration)
    check_services(checker, configuration)
    check_durations(checker, configuration)
    checker.finish(SOURCE)
    return configuration


def read_configuration(
    checker: util.OptionChecker, table: dict
) -> config.Configuration:
    """Reads the top-level table."""
    check_known_keys(checker, table, "", config.Configuration)
    default = config.Configuration()

    def resources(key: str, reader: Reader) -> tuple:
        return read_tables(checker, table, key, key, reader)

    return config.Configuration(
        organisations=resources("organisations", read_organisation),
        services=resources("services", read_service),
        zones=resources("zones", read_zone),
        draining_servers=read_names(
            checker, table, "draining_servers", "draining_servers"
        ),
        shards=checker.integer(
            table, "shards", "shards", default.shards, 1, 4096
        ),
        retention_s=read_float(
            checker, table, "retention_s", "", default.retention_s, 10, 86_400
        ),
        clock_error_s=read_float(
            checker, table, "clock_error_s", "", default.clock_error_s, 0, 5
        ),
        max_deadline_s=read_float(
            checker,
            table,
            "max_deadline_s",
            "",
            default.max_deadline_s,
            0.1,
            43_200,
        ),
    )


def read_organisation(
    checker: util.OptionChecker, table: dict, path: str
) -> config.Organisation:
    """Reads one organisation."""
    check_known_keys(checker, table, path, config.Organisation)
    default = config.Organisation("")
    keys_path = f"{path}.access_keys"
    keys = read_tables(
        checker, table, "access_keys", keys_path, read_access_key
    )
    if len(keys) > accesskey.MAX_VALID_KEYS:
        names = [key.name for key in keys]
        checker.fault(keys_path, names, "keep at most two valid access keys")
    return config.Organisation(
        name=read_name(checker, table, "name", path),
        access_keys=keys,
        starts_per_s=read_float(
            checker, table, "starts_per_s", path, default.starts_per_s, 0, 1e6
        ),
        max_running=checker.integer(
            table,
            "max_running",
            f"{path}.max_running",
            default.max_running,
            0,
            10_000_000,
        ),
        weight=read_float(
            checker, table, "weight", path, default.weight, 0.01, 1000
        ),
        during_log_outage=checker.choice(
            table,
            "during_log_outage",
            f"{path}.during_log_outage",
            OUTAGE_CHOICES,
            default.during_log_outage,
        ),
    )


def read_access_key(
    checker: util.OptionChecker, table: dict, path: str
) -> config.AccessKey:
    """Reads one access key."""
    check_known_keys(checker, table, path, config.AccessKey)
    return config.AccessKey(
        name=read_name(checker, table, "name", path),
        salt=read_pattern(
            checker,
            table,
            "salt",
            path,
            SALT_PATTERN,
            "give 32 hexadecimal digits",
        ),
        digest=read_pattern(
            checker,
            table,
            "digest",
            path,
            DIGEST_PATTERN,
            "give 64 hexadecimal digits",
        ),
    )


# The integer options of a service: name, minimum and maximum.
SERVICE_INTEGERS = (
    ("slots", 1, 4096),
    ("connections", 1, 65_536),
    ("max_tasks_per_job", 1, 10_000),
    ("max_payload_bytes", 1, 2**24),
    ("max_memory_bytes", 1, 2**50),
    ("max_queued_tasks", 1, 10_000_000),
)


def read_service(
    checker: util.OptionChecker, table: dict, path: str
) -> config.Service:
    """Reads one service."""
    check_known_keys(checker, table, path, config.Service)
    default = config.Service("")
    integers = {
        key: checker.integer(
            table,
            key,
            f"{path}.{key}",
            getattr(default, key),
            minimum,
            maximum,
        )
        for key, minimum, maximum in SERVICE_INTEGERS
    }
    return config.Service(
        name=read_name(checker, table, "name", path),
        organisations=read_names(
            checker, table, "organisations", f"{path}.organisations"
        ),
        region=read_name(checker, table, "region", path),
        max_task_s=read_float(
            checker, table, "max_task_s", path, default.max_task_s, 0.001, 3600
        ),
        eject_share=read_float(
            checker, table, "eject_share", path, default.eject_share, 0, 1
        ),
        placement=read_name(
            checker, table, "placement", path, default.placement
        ),
        **integers,
    )


def read_zone(
    checker: util.OptionChecker, table: dict, path: str
) -> config.AvailabilityZone:
    """Reads one availability zone."""
    check_known_keys(checker, table, path, config.AvailabilityZone)
    return config.AvailabilityZone(
        name=read_name(checker, table, "name", path),
        region=read_name(checker, table, "region", path),
        withdrawn=checker.boolean(
            table, "withdrawn", f"{path}.withdrawn", False
        ),
    )


def check_known_keys(
    checker: util.OptionChecker, table: dict, path: str, data_class: type
) -> None:
    """Records a fault for every key that is not a field of the data class."""
    known = tuple(field.name for field in dataclasses.fields(data_class))
    checker.unknown_keys(table, path, known)


def read_tables(
    checker: util.OptionChecker,
    table: dict,
    key: str,
    path: str,
    reader: Reader,
) -> tuple:
    """Reads an array of tables."""
    tables = table.get(key, ())
    if not isinstance(tables, list | tuple):
        checker.fault(path, tables, "give an array of tables")
        return ()
    values = []
    for i, element in enumerate(tables):
        element_path = f"{path}[{i}]"
        if isinstance(element, dict):
            values.append(reader(checker, element, element_path))
        else:
            checker.fault(element_path, element, "give a table")
    return tuple(values)


def read_names(
    checker: util.OptionChecker, table: dict, key: str, path: str
) -> tuple[str, ...]:
    """Reads an array of distinct names."""
    names = table.get(key, ())
    if not isinstance(names, list | tuple):
        checker.fault(path, names, "give an array of names")
        return ()
    valid = tuple(name for name in names if is_name(name))
    for name in names:
        if not is_name(name):
            checker.fault(path, name, NAME_REMEDY)
    check_distinct(checker, path, valid)
    return valid


def read_name(
    checker: util.OptionChecker,
    table: dict,
    key: str,
    path: str,
    default: str | None = None,
) -> str:
    """Reads a name."""
    return read_pattern(
        checker, table, key, path, NAME_PATTERN, NAME_REMEDY, default
    )


def read_pattern(
    checker: util.OptionChecker,
    table: dict,
    key: str,
    path: str,
    pattern: re.Pattern,
    remedy: str,
    default: str | None = None,
) -> str:
    """Reads a string that must match a pattern; empty if it does not."""
    value = table.get(key, default)
    if isinstance(value, str) and pattern.fullmatch(value):
        return value
    checker.fault(f"{path}.{key}", value, remedy)
    return ""


def read_float(
    checker: util.OptionChecker,
    table: dict,
    key: str,
    path: str,
    default: float,
    minimum: float,
    maximum: float,
) -> float:
    """Reads a number within [minimum, maximum] as a float."""
    full_path = f"{path}.{key}" if path else key
    value = checker.number(table, key, full_path, default, minimum, maximum)
    return float(value)


def is_name(value: object) -> bool:
    """Whether a value is a well-formed name."""
    return isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value))


def check_distinct(
    checker: util.OptionChecker, path: str, names: Iterable[str]
) -> None:
    """Records a fault for every name that occurs more than once."""
    counts = collections.Counter(name for name in names if name)
    for name, count in counts.items():
        if count > 1:
            checker.fault(path, name, "give each name once")


def check_names(
    checker: util.OptionChecker, configuration: config.Configuration
) -> None:
    """Checks that names are distinct."""
    for key in ("organisations", "services", "zones"):
        resources = getattr(configuration, key)
        check_distinct(checker, key, (r.name for r in resources))
    for organisation in configuration.organisations:
        path = f"organisations.{organisation.name}.access_keys"
        names = (key.name for key in organisation.access_keys)
        check_distinct(checker, path, names)


def check_services(
    checker: util.OptionChecker, configuration: config.Configuration
) -> None:
    """Checks the references and the connections of services."""
    regions = {zone.region for zone in configuration.zones}
    for service in configuration.services:
        path = f"services.{service.name}"
        for name in service.organisations:
            if configuration.organisation(name) is None:
                checker.fault(
                    f"{path}.organisations",
                    name,
                    "name an organisation of the configuration",
                )
        if service.region and service.region not in regions:
            checker.fault(
                f"{path}.region",
                service.region,
                "name a region that has an availability zone",
            )
        if service.connections < service.slots:
            checker.fault(
                f"{path}.connections",
                service.connections,
                f"give at least {service.slots}, the number of slots",
            )


def check_durations(
    checker: util.OptionChecker, configuration: config.Configuration
) -> None:
    """Checks that deadlines pass well before job keys expire."""
    longest_s = configuration.retention_s * MAX_DEADLINE_SHARE
    if configuration.max_deadline_s > longest_s:
        checker.fault(
            "max_deadline_s",
            configuration.max_deadline_s,
            f"give at most half of retention_s, which is {longest_s}",
        )
    for service in configuration.services:
        if service.max_task_s > configuration.max_deadline_s:
            checker.fault(
                f"services.{service.name}.max_task_s",
                service.max_task_s,
                "give at most max_deadline_s",
            )
