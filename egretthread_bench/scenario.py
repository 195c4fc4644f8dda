"""Scenarios of the process bench: a site, a load and what happens to it."""

import dataclasses
import pathlib
import tomllib

from egretthread import util
from egretthread_bench.deployment import Site


class ScenarioError(util.EgretthreadError):
    """A scenario's file holds a key or an action that is not known."""

    kind = "bad_scenario"


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that happens while the load runs.

    Attributes:
        at_s: When it happens, after the load began.
        action: Name of the action; see `events.ACTIONS`.
        target: What it happens to: a zone's, an agent's or an entry's
            number, counted from 0.
        share: Share of the open jobs, for `cancel`.
    """

    at_s: float
    action: str
    target: int = 0
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Tenant:
    """One organisation's arrivals.

    Attributes:
        name: Name of the organisation.
        load: Share of all slots that its tasks keep busy on average.
        from_s: When its arrivals begin.
        until_s: When they end; 0 for the end of the scenario.
        starts_per_s: Quota; 0 for none.
        max_tasks: Most tasks of a job; sizes are uniform from 1.
    """

    name: str
    load: float
    from_s: float = 0.0
    until_s: float = 0.0
    starts_per_s: float = 0.0
    max_tasks: int = 60


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run of the process bench.

    Attributes:
        name: Names it in the report.
        site: What is deployed.
        tenants: The organisations and their loads.
        duration_s: How long jobs arrive.
        seed: Seed of arrivals, sizes and run times.
        deadline_s: Deadline of each job.
        events: What happens meanwhile.
        window: Start and end of the disturbance, in seconds after the load
            began; what is before, during and after is told apart.
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
        ScenarioError: It holds an unknown key.
    """
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    tenants = tuple(
        _build(Tenant, row, "tenants") for row in document.pop("tenants", [])
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
        _build(Event, row, "events") for row in document.pop("events", [])
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
                f"{path} holds the unknown key {key!r}",
                f"use only {', '.join(known)}",
            )
    return kind(**table)
