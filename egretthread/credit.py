"""Which entry gets an agent's free room, and how entries ask for it.

An agent takes a few tasks beyond its slots and queues them, so that a freed
slot starts the next task without a round trip, and gives the queue's room
in batches, so that several tasks share one credit, hand-out and report.
Queueing at an agent binds a task early, which costs time while other agents
idle. So an entry allows it only while its own queue is deep; otherwise an
agent takes what its slots or its credits cover and refuses the rest.

Free slots are counted as slots less running, queued and held ones, and so
are negative while an agent's queue is in use.
"""

import dataclasses
import functools
import math
from collections.abc import Mapping

# An agent with fewer slots queues no tasks.
MIN_SLOTS_TO_QUEUE = 4


@dataclasses.dataclass(frozen=True)
class CreditRule:
    """The numbers of the rule.

    Attributes:
        lookahead: Tasks that an agent queues beyond its slots at most.
        batch: Room in slots and queue together from which an agent gives
            room in its queue.
        unasked: Tasks that an entry pushes beyond an agent's believed idle
            slots without a credit at most, while its queue is deep.
        depth: Waiting tasks of an entry per agent that make a queue deep.
        asked_per_task: Agents that an entry asks for room per waiting task;
            0 to ask all of them.
        hold_s: How long an agent holds room for a credited entry.
        again_s: After which time an entry repeats a wish.
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
    """Returns the rule of an agent with so many slots.

    Its queue is half as long as it has slots, so that a task that was bound
    early waits about half a run time at most. An agent with few slots has no
    queue: whoever is behind a long task there would wait for it alone.
    """
    if slots < MIN_SLOTS_TO_QUEUE:
        return CreditRule(lookahead=0, batch=1, unasked=0)
    return CreditRule(
        lookahead=slots // 2, batch=slots // 2, unasked=slots // 4
    )


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """An entry's wish for room at an agent.

    Attributes:
        count: Tasks it would hand out.
        since_s: Since when the most urgent of them waits, by the agent's
            clock.
        may_queue: Whether the agent may queue them.
    """

    count: int
    since_s: float
    may_queue: bool


def room(free: int, may_queue: bool, rule: CreditRule) -> int:
    """Returns how many tasks an agent may take in now."""
    return max(0, free + rule.lookahead if may_queue else free)


def accepted(
    count: int, free: int, held: int, may_queue: bool, rule: CreditRule
) -> int:
    """Returns how many tasks of a hand-out an agent takes.

    Args:
        count: Tasks of the hand-out.
        free: Free slots, with what was held for the entry counted as held.
        held: Room held for the entry.
        may_queue: Whether the entry allows tasks to be queued.
        rule: The rule's numbers.
    """
    covered = min(held, count)
    return min(count, covered + room(free, may_queue, rule))


def grant(
    wishes: Mapping[str, SlotRequest], free: int, rule: CreditRule
) -> dict[str, int]:
    """Returns the room that each entry gets, the longest waiting first.

    Args:
        wishes: Wishes by entry.
        free: Free slots, less than 0 while tasks are queued.
        rule: The rule's numbers.
    """
    granted: dict[str, int] = {}
    for entry, wish in sorted(wishes.items(), key=_urgency):
        count = min(wish.count, _room_to_give(free, wish, rule))
        if count > 0:
            granted[entry] = count
            free -= count
    return granted


def _urgency(item: tuple[str, SlotRequest]) -> float:
    return item[1].since_s


def _room_to_give(free: int, wish: SlotRequest, rule: CreditRule) -> int:
    """Returns idle slots one by one, but room in the queue in batches."""
    with_queue = room(free, wish.may_queue, rule)
    return with_queue if with_queue >= rule.batch else max(0, free)


def deduct_granted(
    wishes: dict[str, SlotRequest], granted: Mapping[str, int]
) -> None:
    """Takes what was granted off the wishes."""
    for entry, count in granted.items():
        wish = wishes.pop(entry)
        if wish.count > count:
            left = wish.count - count
            wishes[entry] = dataclasses.replace(wish, count=left)


def is_deep(waiting: int, agents: int, rule: CreditRule) -> bool:
    """Whether so much waits that queueing at agents costs no time.

    Args:
        waiting: Tasks in the entry's queue.
        agents: Agents that may run them.
        rule: The rule's numbers.
    """
    return waiting > 0 and waiting >= rule.depth * agents


def agents_to_ask(waiting: int, agents: int, rule: CreditRule) -> int:
    """Returns how many agents an entry asks for room.

    Args:
        waiting: Tasks in the entry's queue.
        agents: Agents that may run them.
        rule: The rule's numbers.
    """
    if not waiting or not rule.asked_per_task:
        return agents if waiting else 0
    return min(agents, math.ceil(waiting * rule.asked_per_task))


def offered_slots(free: int, held: int, rule: CreditRule) -> int:
    """Returns what an agent lets an entry hand out to it.

    Args:
        free: Free slots that the agent reports.
        held: Room that the agent holds for this entry.
        rule: The rule's numbers.
    """
    return max(free, -rule.unasked) + held
