"""Ejection of backend servers that fail what they start, and their return.

A server is ejected when its failure share is high both by itself and beside
the median server: tasks that fail everywhere are the job's fault and eject
nobody. At most a share of the servers is ejected, and never the last one.
"""

import dataclasses
import statistics
from collections.abc import Collection, Sequence

# Failure share from which a server may be ejected.
MIN_FAILURE_SHARE = 0.5
# How far above the median server it must fail, as a share.
MIN_EXCESS_SHARE = 0.3
# Finished tasks that a failure share must rest on.
MIN_TASKS = 10
# Time between two trial tasks on an ejected server, in seconds.
PROBE_INTERVAL_S = 5.0
# Trial tasks in a row that must succeed before the server returns.
PROBES_TO_RETURN = 3
# Time over which a returning server gets back to its full load, in seconds.
RAMP_S = 10.0


@dataclasses.dataclass(frozen=True)
class HealthView:
    """What an entry knows of the recent tasks of one backend server.

    Attributes:
        node: Node id of its agent.
        failure_share: Share of its recent tasks that failed, 0 to 1.
        tasks: Recent tasks that the share rests on.
    """

    node: str
    failure_share: float
    tasks: int = MIN_TASKS


def ejected(agents: Sequence[HealthView], eject_share: float) -> frozenset[str]:
    """Returns the nodes that should get no work, the worst first.

    Args:
        agents: Every agent of the service.
        eject_share: Share of them that may be ejected, 0 to 1.
    """
    limit = eject_limit(len(agents), eject_share)
    if not limit:
        return frozenset()
    median = statistics.median(agent.failure_share for agent in agents)
    threshold = max(MIN_FAILURE_SHARE, median + MIN_EXCESS_SHARE)
    failing = [
        agent
        for agent in agents
        if agent.tasks >= MIN_TASKS and agent.failure_share >= threshold
    ]
    failing.sort(key=lambda agent: (-agent.failure_share, agent.node))
    return frozenset(agent.node for agent in failing[:limit])


def eject_limit(count: int, eject_share: float) -> int:
    """Returns how many of `count` servers may be ejected at once."""
    return max(0, min(int(count * eject_share), count - 1))


def ramp_weight(since_s: float, ramp_s: float = RAMP_S) -> float:
    """Returns the share of its slots a returning server may use.

    Args:
        since_s: Time since its return; negative when it has not returned.
        ramp_s: Length of the ramp.
    """
    if since_s < 0.0:
        return 0.0
    if ramp_s <= 0.0:
        return 1.0
    return min(1.0, since_s / ramp_s)


@dataclasses.dataclass
class Trial:
    """The probation of one ejected server.

    Attributes:
        next_s: When the next trial task may go to it.
        running: Whether a trial task runs.
        successes: Trial tasks in a row that succeeded.
    """

    next_s: float
    running: bool = False
    successes: int = 0


class Probation:
    """Which servers are ejected or ramp up, and when they get trial tasks.

    Attributes:
        trials: The ejected servers, by node id.
        returned_s: When servers that ramp up were let back, by node id.
    """

    def __init__(self):
        self.trials: dict[str, Trial] = {}
        self.returned_s: dict[str, float] = {}

    def update(
        self,
        agents: Sequence[HealthView],
        eject_share: float,
        now_s: float,
    ) -> None:
        """Ejects the servers that fail and forgets those that are gone.

        A server on probation stays ejected until its trial tasks succeed,
        and counts towards the share that may be ejected.
        """
        nodes = {agent.node for agent in agents}
        self._keep(nodes)
        limit = eject_limit(len(agents), eject_share)
        room = max(0, limit - len(self.trials))
        failing = ejected(agents, eject_share) - self.trials.keys()
        for node in sorted(failing)[:room]:
            self.trials[node] = Trial(now_s + PROBE_INTERVAL_S)
            self.returned_s.pop(node, None)
        for node in list(self.trials)[limit:]:
            self._let_back(node, now_s)

    def weight(self, node: str, slots: int, now_s: float) -> float:
        """Returns the share of its slots that a server may use now."""
        trial = self.trials.get(node)
        if trial is not None:
            due = not trial.running and now_s >= trial.next_s
            return 1.0 / max(1, slots) if due else 0.0
        if node not in self.returned_s:
            return 1.0
        return ramp_weight(now_s - self.returned_s[node])

    def record_dispatch(self, node: str, now_s: float) -> None:
        """Records that work went to a server; a trial if it is ejected."""
        trial = self.trials.get(node)
        if trial is not None:
            trial.running = True
            trial.next_s = now_s + PROBE_INTERVAL_S

    def record_finish(self, node: str, succeeded: bool, now_s: float) -> None:
        """Records the end of a task and lets the server back if it may."""
        trial = self.trials.get(node)
        if trial is None:
            return
        trial.running = False
        trial.successes = trial.successes + 1 if succeeded else 0
        if trial.successes >= PROBES_TO_RETURN:
            self._let_back(node, now_s)

    def _let_back(self, node: str, now_s: float) -> None:
        del self.trials[node]
        self.returned_s[node] = now_s

    def _keep(self, nodes: Collection[str]) -> None:
        for table in (self.trials, self.returned_s):
            for node in table.keys() - nodes:
                del table[node]
