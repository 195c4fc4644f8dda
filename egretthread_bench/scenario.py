"""Scenarios of the process benchmark: a deployment, a load and events."""

import dataclasses
import pathlib
import tomllib

from egretthread import util
from egretthread_bench.deployment import Site


class ScenarioError(util.EgretthreadError):
    """A scenario's file has an unknown key."""

    kind = "bad_scenario"


@dataclasses.dataclass(frozen=True)
class Event:
    """An action on the deployment while the load runs.

    Attributes:
        at_s: Time of the action, from the start of the load.
        action: Name of the action; see `events.ACTIONS`.
        target: Number of the zone, agent or entry, from 0.
        share: Share of the open jobs, for `cancel`.
    """

    at_s: float
    action: str
    target: int = 0
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Tenant:
    """One organisation and its arrivals.

    Attributes:
        name: Name of the organisation.
        load: Share of all slots that its tasks keep busy on average.
        from_s: Start of its arrivals.
        until_s: End of its arrivals; 0 for the end of the scenario.
        starts_per_s: Quota; 0 for none.
        max_tasks: Maximum number of tasks of a job; sizes are uniform from 1.
    """

    name: str
    load: float
    from_s: float = 0.0
    until_s: float = 0.0
    starts_per_s: float = 0.0
    max_tasks: int = 60


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run of the process benchmark.

    Attributes:
        name: Name in the report.
        site: Size and limits of the deployment.
        tenants: The organisations and their loads.
        duration_s: Duration of the arrivals.
        seed: Seed of arrivals, sizes and run times.
        deadline_s: Deadline of each job.
        events: Actions while the load runs.
        window: Start and end of the disturbance, in seconds from the start
            of the load; the report separates the periods before, during and
            after it.
    """

    name: str
    site: Site
    tenants: tuple[Tenant, ...]
    duration_s: float = 40.0
    seed: int = 1
    deadline_s: float = 60.0
    events: tuple[Event, ...] = ()
    window: tuple[float, float] = (0.0, 0.0)


def load(path: pathlib.Path) -> Scenario:
    """Reads a scenario.

    Raises:
        ScenarioError: The file has an unknown key.
    """
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    tenants = tuple(
        _build(Tenant, table, "tenants")
        for table in document.pop("tenants", [])
    )
    site = document.pop("site", {})
    site["zones"] = tuple(site.get("zones", ()))
    site["organisations"] = tuple(tenant.name for tenant in tenants)
    site["quotas"] = {
        tenant.name: tenant.starts_per_s
        for tenant in tenants
        if tenant.starts_per_s
    }
    events = tuple(
        _build(Event, table, "events") for table in document.pop("events", [])
    )
    document["window"] = tuple(document.get("window", (0.0, 0.0)))
    fields = {
        **document,
        "site": _build(Site, site, "site"),
        "tenants": tenants,
        "events": events,
    }
    return _build(Scenario, fields, "scenario")


def _build(kind: type, table: dict, path: str):
    known = [field.name for field in dataclasses.fields(kind)]
    for key in table:
        if key not in known:
            raise ScenarioError(
                f"{path} has the unknown key {key!r}",
                f"use only {', '.join(known)}",
            )
    return kind(**table)
