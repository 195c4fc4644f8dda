"""Experiments: which loads, sizes and rules a bench run compares."""

import dataclasses
import pathlib
import tomllib

from egretthread import util
from egretthread.credit import CreditRule


@dataclasses.dataclass(frozen=True)
class Rule:
    """How entries and agents agree on slots.

    Attributes:
        engines: Whether the real engines run, which follow a rule of their
            own; nothing else of this rule matters then.
        placement: Name of the placement policy.
        agents_queue: Whether agents queue all that exceeds their slots.
        credit_in_report: Whether a Report carries the slots held for its
            receiver, so that no Credit goes beside it.
        want_in_assign: Whether an Assign carries what still waits, so that
            no Want goes beside it.
        exact_free: Whether agents echo how many tasks they got from an
            entry, so that it knows which pushes `free` has taken in.
        flush_reports: Whether a finished task is reported at once while
            any entry waits for slots.
        patience_s: Patience of the fair queue per task.
        candidates: Agents that one job may be placed on at most.
        sharing: Entries that share one agent; 0 for all of them.
        credit: Numbers of the rule for credits.
    """

    engines: bool = False
    placement: str = "late"
    agents_queue: bool = False
    credit_in_report: bool = True
    want_in_assign: bool = True
    exact_free: bool = True
    flush_reports: bool = False
    patience_s: float = 0.06
    candidates: int = 64
    sharing: int = 0
    credit: CreditRule = CreditRule()


@dataclasses.dataclass(frozen=True)
class Tenant:
    """One organisation's part of the load.

    Attributes:
        name: Name of the organisation.
        share: Its part of the load, relative to the others'.
        weight: Its weight in the fair queue.
        quota: Its quota as a multiple of its part of the load; 0 for none.
        flood: How many times its part of the load it asks for.
    """

    name: str
    share: float = 1.0
    weight: float = 1.0
    quota: float = 0.0
    flood: float = 1.0


@dataclasses.dataclass(frozen=True)
class Experiment:
    """One fleet under several loads and rules.

    Attributes:
        name: Names it in the report.
        agents: Agents of the fleet.
        slots: Slots per agent.
        zones: Availability zones they are spread over.
        entries: Entries that jobs arrive at, at random.
        loads: Shares of the slots that the arrivals keep busy on average.
        jobs: Jobs that arrive in each run.
        max_tasks: Most tasks per job; sizes are uniform.
        delay_s: Message delay between processes, one way.
        caller_delay_s: Delay between caller and entry, one way.
        seed: Seed of arrivals and sizes.
        min_tasks: Fewest tasks per job.
        failing_agents: Agents whose backend server fails all it starts.
        eject: Whether entries eject failing backend servers.
        rules: The rules compared, by name.
        tenants: The organisations.
    """

    name: str
    agents: int = 11
    slots: int = 8
    zones: int = 3
    entries: int = 3
    loads: tuple[float, ...] = (0.5, 0.7, 0.9)
    jobs: int = 2000
    max_tasks: int = 60
    delay_s: float = 0.0015
    caller_delay_s: float = 0.001
    seed: int = 1
    min_tasks: int = 1
    failing_agents: int = 0
    eject: bool = True
    rules: tuple[tuple[str, Rule], ...] = (("late", Rule()),)
    tenants: tuple[Tenant, ...] = (Tenant("dublin"), Tenant("varna"))


class ExperimentError(util.EgretthreadError):
    """An experiment's file holds a key that is not known."""

    kind = "bad_experiment"


def load_experiments(path: pathlib.Path) -> list[Experiment]:
    """Returns the experiments of a TOML file.

    Raises:
        ExperimentError: A table holds an unknown key.
    """
    document = tomllib.loads(path.read_text())
    rules = {
        name: _rule(table, f"rules.{name}")
        for name, table in document.get("rules", {}).items()
    }
    return [
        _experiment(table, rules) for table in document.get("experiments", [])
    ]


def _rule(table: dict, path: str) -> Rule:
    fields = dict(table)
    if "credit" in fields:
        fields["credit"] = _build(
            CreditRule, fields["credit"], f"{path}.credit"
        )
    return _build(Rule, fields, path)


def _experiment(table: dict, rules: dict[str, Rule]) -> Experiment:
    fields = dict(table)
    names = fields.pop("rules", list(rules))
    fields["rules"] = tuple((name, rules[name]) for name in names)
    if "tenants" in fields:
        fields["tenants"] = tuple(
            _build(Tenant, tenant, "tenants") for tenant in fields["tenants"]
        )
    if "loads" in fields:
        fields["loads"] = tuple(fields["loads"])
    return _build(Experiment, fields, f"experiments.{table.get('name')}")


def _build(kind: type, table: dict, path: str):
    known = [field.name for field in dataclasses.fields(kind)]
    for key in table:
        if key not in known:
            raise ExperimentError(
                f"{path} holds the unknown key {key!r}",
                f"use only {', '.join(known)}",
            )
    return kind(**table)
