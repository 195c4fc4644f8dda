"""Experiments: the loads, sizes and rules that a benchmark compares."""

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
            own; all other fields are ignored then.
        placement: Name of the placement policy.
        agents_queue: Whether agents queue all tasks that exceed their slots.
        credit_in_report: Whether a Report includes the slots held for its
            receiver, so that no separate Credit is sent.
        want_in_assign: Whether an Assign includes the number of waiting
            tasks, so that no separate Want is sent.
        exact_free: Whether agents report how many tasks they received from
            an entry, so that it knows which assignments `free` includes.
        flush_reports: Whether a finished task is reported immediately while
            any entry waits for slots.
        patience_s: Wait allowance of the fair queue per task.
        candidates: Maximum number of agents considered in one placement.
        sharing: Number of entries that share one agent; 0 for all of them.
        credit: Parameters of the rule for credits.
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
    """One organisation and its share of the load.

    Attributes:
        name: Name of the organisation.
        share: Share of the load, relative to the other organisations.
        weight: Weight in the fair queue.
        quota: Quota as a multiple of its share of the load; 0 for none.
        flood: Submitted load as a multiple of its share.
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
        name: Name in the report.
        agents: Number of agents.
        slots: Slots per agent.
        zones: Number of availability zones of the agents.
        entries: Number of entries; each job arrives at a random one.
        loads: Shares of the slots that the arrivals keep busy on average.
        jobs: Number of jobs that arrive in each run.
        max_tasks: Maximum number of tasks per job; sizes are uniform.
        delay_s: One-way delay of a message between processes.
        caller_delay_s: One-way delay between caller and entry.
        seed: Seed of arrivals and sizes.
        min_tasks: Minimum number of tasks per job.
        failing_agents: Number of agents whose backend server fails every
            task.
        eject: Whether entries eject failing backend servers.
        rules: The compared rules with their names.
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
    """A file of experiments has an unknown key."""

    kind = "bad_experiment"


def load_experiments(path: pathlib.Path) -> list[Experiment]:
    """Returns the experiments of a TOML file.

    Raises:
        ExperimentError: A table has an unknown key.
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
                f"{path} has the unknown key {key!r}",
                f"use only {', '.join(known)}",
            )
    return kind(**table)
