"""Fault scenarios by name."""

import dataclasses
from collections.abc import Awaitable, Callable

from egretthread_standins.checks import Check
from egretthread_standins.cluster import Layout
from egretthread_standins.faults import (
    kills,
    links,
    outages,
    pauses,
    races,
    servers,
    shutdown,
    storm,
    withdrawal,
)
from egretthread_standins.faults.testbed import RELAYED, SMALL, Testbed


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One fault scenario.

    Attributes:
        run: Injects the faults and returns the checks.
        layout: Layout of the cluster that the scenario needs.
    """

    run: Callable[[Testbed], Awaitable[list[Check]]]
    layout: Layout = SMALL


SCENARIOS: dict[str, Scenario] = {
    "kill-coordinator": Scenario(kills.kill_coordinator),
    "kill-agent": Scenario(kills.kill_agent),
    "kill-both": Scenario(kills.kill_both),
    "pause-coordinator": Scenario(pauses.pause_coordinator),
    "pause-agent": Scenario(pauses.pause_agent, pauses.ONE_CONNECTION),
    "silent-links": Scenario(links.stall_links, RELAYED),
    "silent-backend": Scenario(links.stall_backend, RELAYED),
    "cut-off-entry": Scenario(links.disconnect_entry, RELAYED),
    "outage": Scenario(outages.outage),
    "outage-60s": Scenario(outages.outage_60s),
    "one-cut-off": Scenario(outages.disconnect_one, RELAYED),
    "all-cut-off": Scenario(outages.disconnect_all, RELAYED),
    "stop-in-outage": Scenario(outages.stop_in_outage, RELAYED),
    "withdraw-zone": Scenario(withdrawal.withdraw_zone),
    "drain-server": Scenario(withdrawal.drain_server),
    "fail-all": Scenario(servers.fail_all, RELAYED),
    "hang": Scenario(servers.hang, RELAYED),
    "refuse": Scenario(servers.refuse, RELAYED),
    "race": Scenario(races.race),
    "conflict": Scenario(races.conflict),
    "end-entry": Scenario(shutdown.end_entry),
    "end-agent": Scenario(shutdown.end_agent),
    "restart-entries": Scenario(shutdown.restart_entries),
    "storm": Scenario(storm.storm, RELAYED),
    "storm-long": Scenario(storm.storm_long, RELAYED),
}


def find_scenario(name: str) -> Scenario:
    """Returns a scenario by its name.

    Raises:
        KeyError: No scenario has the name.
    """
    return SCENARIOS[name]
