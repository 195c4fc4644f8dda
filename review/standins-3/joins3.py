"""Reassignment of all partitions at a chosen moment, by the store stand-in."""

import asyncio
import signal
import time

from egretthread_standins.platformsite import site as sites

# Time between two joins of an entry, the gap that is sought, and how often.
JOIN_PERIOD_S = 0.606
ALIGNED_S = (0.02, 0.07)
AIM_S = 0.04
ALIGN_TRIES = 7
# Longest gap between the last join of the old coordinator and the first of the
# new one.
MAX_GAP_S = 0.1
WAIT_S = 20.0


class Joins:
    """Sees the joins at the store, and moves all partitions at one of them.

    Attributes:
        site: The site.
        last_s: When each entry last called to join.
        pair: The old and the new coordinator, once the partitions shall move.
        moves: Whether they move then; otherwise only a time is noted, and no
            entries are sought that join one after the other.
        moved_s: When they moved; 0 before.
        gap_s: How long before that the old coordinator had called.
        start_up_s: How long the last entry took from its start to its first
            call.
    """

    def __init__(self, site, moves: bool):
        self.site = site
        self.moves = moves
        self.last_s: dict[str, float] = {}
        self.pair: tuple[str, str] | None = None
        self.moved_s = 0.0
        self.gap_s = 0.0
        self.start_up_s = 0.35
        self.on_join = site.store._on_join
        site.store._on_join = self.join

    async def join(self, machine, request):
        """Answers a join; before it, moves the partitions if it is time."""
        now_s = time.monotonic()
        if self.pair and not self.moved_s and machine == self.pair[1]:
            gap_s = now_s - self.last_s.get(self.pair[0], 0.0)
            if gap_s < MAX_GAP_S or not self.moves:
                self.moved_s, self.gap_s = now_s, gap_s
                if self.moves:
                    self.move()
        self.last_s[machine] = now_s
        return await self.on_join(machine, request)

    def move(self) -> None:
        """Reassigns all partitions at once."""
        old, new = self.pair
        (group,) = self.site.store.groups.values()
        members = {name.partition("#")[0]: name for name in group.members}
        (third,) = members.keys() - {old, new}
        after = {old: new, new: third, third: old}
        group.generation += 1
        for part, name in group.target.items():
            target = members[after[name.partition("#")[0]]]
            group.target[part] = group.owner[part] = target
        self.site.log(
            "platform",
            "all partitions reassigned",
            old=old,
            new=new,
            last_join_before_s=f"{self.gap_s:.3f}",
        )

    async def closest_pair(self) -> tuple[str, str]:
        """Returns two entries of which one joins shortly after the other.

        If there are none, an entry is restarted; that is for the time before
        any job is submitted.
        """
        site = self.site
        for _ in range(ALIGN_TRIES):
            await asyncio.sleep(1.5)
            gaps = {
                (self.last_s[b] - self.last_s[a]) % JOIN_PERIOD_S: (a, b)
                for a in site.names
                for b in site.names
                if a != b
            }
            aligned = [g for g in gaps if ALIGNED_S[0] <= g <= ALIGNED_S[1]]
            if aligned or not self.moves:
                return gaps[min(aligned or gaps)]
            await self.restart(site.names[-1], site.names[0])
            await asyncio.sleep(6.0)
        raise sites.Unavailable("no entries that join one after the other")

    async def restart(self, name: str, other: str) -> None:
        """Restarts an entry so that it joins shortly after another one."""
        site = self.site
        site.signal(name, signal.SIGKILL)
        await site.wait_for_end(name, 8.0)
        await asyncio.sleep(0.1)
        due_s = self.last_s[other] + AIM_S - self.start_up_s
        await asyncio.sleep((due_s - time.monotonic()) % JOIN_PERIOD_S)
        del self.last_s[name]
        begin_s = time.monotonic()
        site.start_process(name)
        while name not in self.last_s:
            await asyncio.sleep(0.002)
        self.start_up_s = self.last_s[name] - begin_s

    async def wait_for_move(self, pair: tuple[str, str]) -> bool:
        """Has the partitions move; returns whether they did."""
        self.pair = pair
        end_s = time.monotonic() + WAIT_S
        while not self.moved_s and time.monotonic() < end_s:
            await asyncio.sleep(0.002)
        return bool(self.moved_s)
