"""Settings of the decisions under load, the table `load` of a process."""

import dataclasses

from egretthread import util

# Keys of a share by which its jobs are selected.
SELECTORS = ("priority", "host", "route")


@dataclasses.dataclass(frozen=True)
class ShareRule:
    """A share of a service's capacity for some of its jobs.

    A job belongs to the first rule that all its selectors match.

    Attributes:
        name: Name of the share, for logs and metrics.
        guaranteed: Share of the capacity that its jobs get as long as they need
            it, whatever else waits. What they do not need is lent to others.
        limit: Share of the capacity that its jobs get at most while jobs of
            other shares wait at the same entry. Runs that were ordered before
            are not stopped.
        priority: Priority of its routes; None selects any.
        host: Host name of its routes; empty selects any.
        route: Name of its route; empty selects any.
    """

    name: str
    guaranteed: float = 0.0
    limit: float = 1.0
    priority: int | None = None
    host: str = ""
    route: str = ""


# The share of the jobs that no rule selects.
UNSHARED = ShareRule("others")


@dataclasses.dataclass(frozen=True)
class LoadSettings:
    """Which decisions under load a process makes; all are off by default.

    Attributes:
        shares: Shares of the capacity for which jobs compete.
        forward_jobs: Whether an entry forwards a job that it can't serve in
            time to an entry that can.
        server_speeds: Whether the speed of backend servers is estimated with
            its uncertainty, and tasks are placed by it.
        spread_retries: Whether refused callers are told to retry one after
            the other, at the rate at which capacity is expected for them.
    """

    shares: tuple[ShareRule, ...] = ()
    forward_jobs: bool = False
    server_speeds: bool = False
    spread_retries: bool = False


def check(checker: util.OptionChecker, table: dict) -> LoadSettings:
    """Returns the validated settings; the checker collects the faults.

    Args:
        checker: Collects the faults.
        table: The table `load`.
    """
    names = tuple(field.name for field in dataclasses.fields(LoadSettings))
    checker.unknown_keys(table, "load", names)
    flags = {
        name: checker.boolean(table, name, f"load.{name}", default=False)
        for name in names
        if name != "shares"
    }
    return LoadSettings(shares=_check_shares(checker, table), **flags)


def _check_shares(
    checker: util.OptionChecker, table: dict
) -> tuple[ShareRule, ...]:
    rows = table.get("shares", [])
    is_list = isinstance(rows, list)
    if not is_list or not all(isinstance(row, dict) for row in rows):
        checker.fault("load.shares", rows, "write one [[load.shares]] a share")
        return ()
    rules = tuple(
        _check_share(checker, row, f"load.shares.{number}")
        for number, row in enumerate(rows)
    )
    if sum(rule.guaranteed for rule in rules) > 1.0:
        guaranteed = [rule.guaranteed for rule in rules]
        checker.fault("load.shares", guaranteed, "guarantee 1.0 in all at most")
    names = [rule.name for rule in rules]
    if len(set(names)) < len(names):
        checker.fault("load.shares", names, "give each share its own name")
    if UNSHARED.name in names:
        remedy = (
            f"choose another name than {UNSHARED.name}, of jobs without one"
        )
        checker.fault("load.shares", names, remedy)
    return rules


def _check_share(
    checker: util.OptionChecker, row: dict, path: str
) -> ShareRule:
    names = tuple(field.name for field in dataclasses.fields(ShareRule))
    checker.unknown_keys(row, path, names)
    selectors = {}
    if "priority" in row:
        selectors["priority"] = checker.integer(
            row, "priority", f"{path}.priority"
        )
    for name in ("host", "route"):
        if name in row:
            selectors[name] = checker.text(row, name, f"{path}.{name}")
    if not selectors:
        checker.fault(path, row, f"select jobs by {' or '.join(SELECTORS)}")
    limit = checker.number(row, "limit", f"{path}.limit", 1.0, 0.01, 1.0)
    guaranteed = checker.number(
        row, "guaranteed", f"{path}.guaranteed", 0.0, 0.0, limit
    )
    name = checker.text(row, "name", f"{path}.name")
    return ShareRule(name, guaranteed, limit, **selectors)
