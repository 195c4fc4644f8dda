"""State of the shares of the capacity at an entry."""

import collections
import dataclasses
import math

from egretthread.scheduling import workmeter


@dataclasses.dataclass
class ShareUse:
    """Use of one share of a service by the jobs of this entry.

    Attributes:
        running_cpu: CPU of the runs ordered and not ended, in thousandths of a
            core.
        running_tasks: Number of these runs.
        dispatched: Work dispatched recently, by priority.
        waiting_tasks: Number of its tasks that the last pass left waiting.
        needed_s: When a task last had to wait, or a job was refused.
        guaranteed_cpu: CPU that it was guaranteed in that pass, in thousandths
            of a core.
        wide_job: Id of the last job that began within the guarantee and may
            exceed it as a whole; empty if there is none.
        debt_cpu_s: Work by which such jobs exceeded the guarantee, less what
            was left of the guarantee since, in thousandths of a core x seconds.
        debt_at_s: When the debt was last settled.
        is_short: Whether it was logged as short: below its guarantee while its
            tasks wait.
        differs_since_s: Since when the opposite holds; infinite otherwise.
    """

    running_cpu: int = 0
    running_tasks: int = 0
    dispatched: workmeter.WorkMeter = dataclasses.field(
        default_factory=workmeter.WorkMeter
    )
    waiting_tasks: int = 0
    needed_s: float = -math.inf
    guaranteed_cpu: float = 0.0
    wide_job: str = ""
    debt_cpu_s: float = 0.0
    debt_at_s: float = 0.0
    is_short: bool = False
    differs_since_s: float = math.inf

    def settle(self, now_s: float) -> None:
        """Pays the debt from what is left of the guarantee."""
        left_cpu = max(0.0, self.guaranteed_cpu - self.running_cpu)
        paid_cpu_s = left_cpu * (now_s - self.debt_at_s)
        self.debt_cpu_s = max(0.0, self.debt_cpu_s - paid_cpu_s)
        self.debt_at_s = now_s


@dataclasses.dataclass
class ShareBoard:
    """Use of the shares, as counters that follow each order and each end.

    Attributes:
        uses: Use by service and name of the share.
        running_cpu: CPU of all runs of a service that are ordered and not
            ended, in thousandths of a core.
        priority_cpu: The same by service and priority.
    """

    uses: dict[tuple[str, str], ShareUse] = dataclasses.field(
        default_factory=dict
    )
    running_cpu: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    priority_cpu: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
