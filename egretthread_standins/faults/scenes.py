"""All scenes by name."""

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
from egretthread_standins.faults.stage import RELAYED, SMALL, Stage


@dataclasses.dataclass(frozen=True)
class Scene:
    """One scene.

    Attributes:
        play: Brings the fault about and returns the checks.
        layout: The cluster that it needs.
    """

    play: Callable[[Stage], Awaitable[list[Check]]]
    layout: Layout = SMALL


SCENES: dict[str, Scene] = {
    "kill-coordinator": Scene(kills.kill_coordinator),
    "kill-agent": Scene(kills.kill_agent),
    "kill-both": Scene(kills.kill_both),
    "pause-coordinator": Scene(pauses.pause_coordinator),
    "pause-agent": Scene(pauses.pause_agent, pauses.ONE_CONNECTION),
    "silent-links": Scene(links.silent_links, RELAYED),
    "silent-backend": Scene(links.silent_backend, RELAYED),
    "cut-off-entry": Scene(links.cut_off_entry, RELAYED),
    "outage": Scene(outages.outage),
    "outage-60s": Scene(outages.outage_60s),
    "one-cut-off": Scene(outages.one_cut_off, RELAYED),
    "all-cut-off": Scene(outages.all_cut_off, RELAYED),
    "stop-in-outage": Scene(outages.stop_in_outage, RELAYED),
    "withdraw-zone": Scene(withdrawal.withdraw_zone),
    "drain-server": Scene(withdrawal.drain_server),
    "fail-all": Scene(servers.fail_all, RELAYED),
    "hang": Scene(servers.hang, RELAYED),
    "refuse": Scene(servers.refuse, RELAYED),
    "race": Scene(races.race),
    "conflict": Scene(races.conflict),
    "end-entry": Scene(shutdown.end_entry),
    "end-agent": Scene(shutdown.end_agent),
    "restart-entries": Scene(shutdown.restart_entries),
    "storm": Scene(storm.storm, RELAYED),
    "storm-long": Scene(storm.storm_long, RELAYED),
}


def find_scene(name: str) -> Scene:
    """Returns a scene by its name.

    Raises:
        KeyError: There is none of that name.
    """
    return SCENES[name]
