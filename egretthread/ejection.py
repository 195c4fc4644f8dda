"""Ejection of backend servers that fail many tasks, and their readmission.

A server is ejected if its failure share is high both in absolute terms and
compared with the median server. Tasks that fail on all servers are the fault
of their job and eject no server. Only a limited share of the servers is
ejected, and never the last one.
"""

import dataclasses
import statistics
from collections.abc import Collection, Sequence

# Failure share from which a server may be ejected.
MIN_FAILURE_SHARE = 0.5
# Excess over the median failure share from which it may be ejected.
MIN_EXCESS_SHARE = 0.3
# Fewest finished tasks that make a failure share valid.
MIN_TASKS = 10
# Time between two trial tasks on an ejected server, in seconds.
TRIAL_INTERVAL_S = 5.0
# Consecutive trial tasks that must succeed before a server is readmitted.
TRIALS_TO_READMIT = 3
# Ramp-up time of a readmitted server to its full load, in seconds.
RAMP_S = 10.0


@dataclasses.dataclass(frozen=True)
class HealthView:
    """What an entry knows about the recent tasks of one backend server.

    Attributes:
        node: Node id of its agent.
        failure_share: Share of its recent tasks that failed, 0 to 1.
        tasks: Number of recent tasks from which the share was computed.
    """

    node: str
    failure_share: float
    tasks: int = MIN_TASKS


def ejected(agents: Sequence[HealthView], eject_share: float) -> frozenset[str]:
    """Returns the nodes to eject, those with the most failures.

    Args:
        agents: All agents of the service.
        eject_share: Share of the agents that may be ejected, 0 to 1.
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
    """Returns the share of its slots that a server may use while it ramps up.

    Args:
        since_s: Time since the ramp-up began; negative if it has not begun.
        ramp_s: Length of the ramp-up.
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
        next_s: Time from which the next trial task may be dispatched to it.
        running: Whether a trial task is running.
        successes: Consecutive trial tasks that succeeded.
    """

    next_s: float
    running: bool = False
    successes: int = 0


class Probation:
    """The ejected and the readmitted backend servers of a service.

    Attributes:
        trials: Trial state of the ejected servers, by node id.
        readmitted_s: Time when a server was readmitted, by node id.
    """

    def __init__(self):
        self.trials: dict[str, Trial] = {}
        self.readmitted_s: dict[str, float] = {}

    def update(
        self,
        agents: Sequence[HealthView],
        eject_share: float,
        now_s: float,
    ) -> None:
        """Ejects failing servers and removes those not among the agents.

        An ejected server stays ejected until its trial tasks succeed, and
        counts towards the share that may be ejected. When fewer servers may be
        ejected than are, those ejected last are readmitted at once.
        """
        nodes = {agent.node for agent in agents}
        self._remove_absent(nodes)
        limit = eject_limit(len(agents), eject_share)
        available = max(0, limit - len(self.trials))
        failing = ejected(agents, eject_share) - self.trials.keys()
        for node in sorted(failing)[:available]:
            self.trials[node] = Trial(now_s + TRIAL_INTERVAL_S)
            self.readmitted_s.pop(node, None)
        for node in list(self.trials)[limit:]:
            self._readmit(node, now_s)

    def weight(self, node: str, slots: int, now_s: float) -> float:
        """Returns the share of its slots that a server may use now."""
        trial = self.trials.get(node)
        if trial is not None:
            due = not trial.running and now_s >= trial.next_s
            return 1.0 / max(1, slots) if due else 0.0
        if node not in self.readmitted_s:
            return 1.0
        return ramp_weight(now_s - self.readmitted_s[node])

    def record_dispatch(self, node: str, now_s: float) -> None:
        """Records a dispatch to a server, which is a trial if it is ejected."""
        trial = self.trials.get(node)
        if trial is not None:
            trial.running = True
            trial.next_s = now_s + TRIAL_INTERVAL_S

    def record_finish(self, node: str, succeeded: bool, now_s: float) -> None:
        """Records the end of a task, which may readmit an ejected server."""
        trial = self.trials.get(node)
        if trial is None:
            return
        trial.running = False
        trial.successes = trial.successes + 1 if succeeded else 0
        if trial.successes >= TRIALS_TO_READMIT:
            self._readmit(node, now_s)

    def _readmit(self, node: str, now_s: float) -> None:
        del self.trials[node]
        self.readmitted_s[node] = now_s

    def _remove_absent(self, nodes: Collection[str]) -> None:
        for table in (self.trials, self.readmitted_s):
            for node in table.keys() - nodes:
                del table[node]
