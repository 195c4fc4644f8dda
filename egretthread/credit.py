"""Credit-based flow control between entries and agents.

Entries request slots from agents, and agents grant free slots as credits to
the entries whose requests have waited longest.

An agent also accepts a few tasks beyond its slots into a queue, so that a
freed slot starts the next task without a round trip. It grants the places in
this queue in batches, so that several tasks share one credit, assignment and
report. A task that is queued at an agent cannot use slots that become free
elsewhere. An entry therefore allows it only while its own queue is deep;
otherwise an agent accepts the tasks that its free slots or credits cover and
refuses the rest.

The number of free slots is the slots less the running, queued and reserved
ones, so it is negative while an agent's queue is in use.
"""

import dataclasses
import functools
import math
from collections.abc import Mapping

# Fewest slots with which an agent queues tasks.
MIN_SLOTS_TO_QUEUE = 4


@dataclasses.dataclass(frozen=True)
class CreditRule:
    """The parameters of the flow control.

    Attributes:
        lookahead: Most tasks that an agent queues beyond its slots.
        batch: Free capacity, in slots and queue together, from which an
            agent grants places in its queue.
        unasked: Most tasks that an entry assigns without a credit beyond the
            known free slots of an agent, while its queue is deep.
        depth: Queued tasks per agent from which an entry's queue is deep.
        asked_per_task: Agents that an entry requests slots from per queued
            task; 0 to ask all of them.
        hold_s: How long an agent reserves slots for a credited entry.
        again_s: Time after which an entry repeats a slot request.
    """

    lookahead: int = 4
    batch: int = 4
    unasked: int = 2
    depth: float = 0.5
    asked_per_task: float = 0.5
    hold_s: float = 0.02
    again_s: float = 0.5


@functools.cache
def rule_for(slots: int) -> CreditRule:
    """Returns the rule of an agent with the given number of slots.

    Its queue has half as many places as it has slots, so that a queued task
    waits for about half a run time at most. An agent with few slots has no
    queue, because a task queued there might wait for one long task to end.
    """
    if slots < MIN_SLOTS_TO_QUEUE:
        return CreditRule(lookahead=0, batch=1, unasked=0)
    return CreditRule(
        lookahead=slots // 2, batch=slots // 2, unasked=slots // 4
    )


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """An entry's request for slots of an agent.

    Attributes:
        count: Number of tasks that the entry would assign.
        since_s: Time from which the request has waited, by the agent's
            clock; the earliest is served first.
        may_queue: Whether the agent may queue the tasks.
    """

    count: int
    since_s: float
    may_queue: bool


def free_capacity(free: int, may_queue: bool, rule: CreditRule) -> int:
    """Returns how many tasks an agent may accept now."""
    return max(0, free + rule.lookahead if may_queue else free)


def accepted(
    count: int, free: int, reserved: int, may_queue: bool, rule: CreditRule
) -> int:
    """Returns how many of the tasks in one message an agent accepts.

    Args:
        count: Number of tasks in the message.
        free: Free slots, not counting those reserved for the entry.
        reserved: Slots reserved for the entry.
        may_queue: Whether the entry allows tasks to be queued.
        rule: The parameters of the flow control.
    """
    covered = min(reserved, count)
    return min(count, covered + free_capacity(free, may_queue, rule))


def grant(
    requests: Mapping[str, SlotRequest], free: int, rule: CreditRule
) -> dict[str, int]:
    """Returns the slots granted to each entry, the longest waiting first.

    Args:
        requests: Slot requests by entry.
        free: Free slots, less than 0 while tasks are queued.
        rule: The parameters of the flow control.
    """
    granted: dict[str, int] = {}
    for entry, request in sorted(requests.items(), key=_waiting_since_s):
        count = min(request.count, _grantable(free, request, rule))
        if count > 0:
            granted[entry] = count
            free -= count
    return granted


def _waiting_since_s(request_by_entry: tuple[str, SlotRequest]) -> float:
    return request_by_entry[1].since_s


def _grantable(free: int, request: SlotRequest, rule: CreditRule) -> int:
    """Returns the slots to grant; queue places are granted in batches."""
    with_queue = free_capacity(free, request.may_queue, rule)
    return with_queue if with_queue >= rule.batch else max(0, free)


def deduct_granted(
    requests: dict[str, SlotRequest], granted: Mapping[str, int]
) -> None:
    """Deducts the granted slots from the requests."""
    for entry, count in granted.items():
        request = requests.pop(entry)
        if request.count > count:
            remaining = request.count - count
            requests[entry] = dataclasses.replace(request, count=remaining)


def is_deep(waiting: int, agents: int, rule: CreditRule) -> bool:
    """Whether an entry's queue is so deep that agents may queue tasks.

    With so many waiting tasks, queueing some at agents delays none of them.

    Args:
        waiting: Number of tasks in the entry's queue.
        agents: Number of agents that may run them.
        rule: The parameters of the flow control.
    """
    return waiting > 0 and waiting >= rule.depth * agents


def agents_to_ask(waiting: int, agents: int, rule: CreditRule) -> int:
    """Returns the number of agents from which an entry requests slots.

    Args:
        waiting: Number of tasks in the entry's queue.
        agents: Number of agents that may run them.
        rule: The parameters of the flow control.
    """
    if not waiting or not rule.asked_per_task:
        return agents if waiting else 0
    return min(agents, math.ceil(waiting * rule.asked_per_task))


def offered_slots(free: int, reserved: int, rule: CreditRule) -> int:
    """Returns the number of free slots that an agent reports to an entry.

    Args:
        free: The agent's free slots; negative while tasks are queued.
        reserved: Slots that the agent has reserved for this entry.
        rule: The parameters of the flow control.
    """
    return max(free, -rule.unasked) + reserved
