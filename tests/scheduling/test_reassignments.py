"""Tests of partitions that are reassigned while their coordinator goes on.

The store reassigns all partitions at once, between a call of the coordinator to
the group and the first one of its successor. The former coordinator does not
learn of it before its next call, or not at all.
"""

import itertools

import testtools

from egretthread.scheduling.jobspec import JobSpec, StepSpec
from egretthread.scheduling.room import Room
from tests.scheduling import fakelog, region

OLD, NEW, THIRD = "e0", "e1", "e2"
JOB = "k"
OUTAGE_S = 9.0
# When the former coordinator is disturbed, after the reassignment.
MOMENTS_S = tuple(step * 0.15 for step in range(1, 23))


class Move:
    """A region whose partitions are reassigned at once.

    Attributes:
        world: The region.
        part: Partition of the kept jobs.
    """

    def __init__(self, work_s=8.0, count=6, entries=3, agents=4, cpu=8000):
        self.world = region.Region(
            entries=entries, agents=agents, cpu=cpu, work_s=lambda name: work_s
        )
        self.work_s, self.count = work_s, count
        self.part = self.world.log.partition_of(JOB)
        self.world.log.preferred[self.part] = OLD
        self.world.run(6.0)

    def submit(self):
        """Submits the kept job."""
        step = StepSpec(self.count, Room(1000, 64, 0), self.work_s)
        self.world.submit_kept(JobSpec(JOB, "payload", (step,), kept=True))

    def reassign(self, new=NEW):
        """Reassigns the partition just before an entry calls the group."""
        world = self.world
        world.log.preferred[self.part] = new
        join = world.log.join
        moved = []

        def join_after_move(name, generation, now_s):
            if fakelog.entry_of(name) == new and not moved:
                moved.append(now_s)
                world.log.reassign_at_once()
            return join(name, generation, now_s)

        world.log.join = join_after_move
        while not moved:
            world.run(0.001)
        world.log.join = join

    def turn_away(self, entry, how):
        """Has the store turn an entry away, or lose the answers to it."""
        log = self.world.log
        until_s = self.world.now_s + OUTAGE_S
        if how == "turned away":
            log.cut_s[entry] = until_s
        elif how == "answers lost":
            log.deaf_s[entry] = until_s

    def disturb(self, entry, how):
        """Disturbs an entry."""
        world = self.world
        process = world.entries[entry]
        if how == "kill":
            world.kill(process, 1.5)
        elif how == "pause":
            world.freeze(process, 3.5)
        elif how == "cut from agents":
            for agent in world.agents:
                world.cut(entry, agent, 3.0)
        elif how == "restart agents":
            for agent in tuple(world.agents.values()):
                world.kill(agent, 0.3)

    def finish(self):
        """Runs until the jobs have ended; returns the violations."""
        self.world.finish(40.0)
        found = self.world.violations()
        states = set(self.world.log.states().values())
        return found if states == {"completed"} else [*found, states]


class TestFormerCoordinators(testtools.TestCase):
    def play(self, work, store, entry, how, after_s):
        move = Move(**work)
        move.submit()
        move.world.run(1.0)
        move.reassign()
        move.turn_away(OLD, store)
        move.world.run(after_s)
        move.disturb(entry, how)
        return move.finish()

    def check(self, *variants):
        broken = {}
        for work, *case in itertools.product(*variants):
            found = self.play(work, *case)
            if found:
                broken[work["count"], *case] = found[:3]
        self.assertEqual({}, broken)

    # Guards against TWICE: the successor started the tasks again while runs of
    # the former coordinator went on, which had renewed their leases.
    def test_no_task_runs_twice_after_a_coordinator_went_on_unaware(self):
        self.check(
            ({"count": 6},),
            ("turned away", "answers lost"),
            (OLD,),
            ("kill", "pause", "cut from agents", "restart agents"),
            MOMENTS_S,
        )
