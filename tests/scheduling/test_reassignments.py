"""Tests of partitions that are reassigned while their coordinator goes on.

The store reassigns all partitions at once, between a call of the coordinator to
the group and the first one of its successor. The former coordinator does not
learn of it before its next call, or not at all.
"""

import itertools

import testtools

from egretthread.scheduling import keptjobs, leaserule
from egretthread.scheduling.jobspec import JobSpec, StepSpec
from egretthread.scheduling.keptboard import Partition
from egretthread.scheduling.room import Room
from egretthread.scheduling.storecall import POLL_WAIT_S
from tests.scheduling import fakelog, region

OLD, NEW, THIRD = "e0", "e1", "e2"
JOB = "k"
OUTAGE_S = 9.0
FILLER_S = 90.0
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
            entries=entries,
            agents=agents,
            cpu=cpu,
            work_s=lambda name: work_s if name.job == JOB else FILLER_S,
        )
        self.work_s, self.count = work_s, count
        self.part = self.world.log.partition_of(JOB)
        self.world.log.preferred[self.part] = OLD
        self.world.run(6.0)

    def submit(self):
        """Submits the kept job."""
        step = StepSpec(self.count, Room(1000, 64, 0), self.work_s)
        self.world.submit_kept(JobSpec(JOB, "payload", (step,), kept=True))

    def fill(self):
        """Starts other work, which keeps the leases of all servers renewed."""
        for number, server in enumerate(self.world.servers.values()):
            server.rack = f"r{number + 1}"
        self.world.run(2.0)
        for number, server in enumerate(self.world.servers.values()):
            room = Room(1000, 64, 0)
            step = StepSpec(1, room, FILLER_S, required_label=server.rack)
            job = JobSpec(f"f{number}", "payload", (step,))
            self.world.submit(job, THIRD, 2 * FILLER_S)
        self.world.run(0.5)

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


class TestLateReads(testtools.TestCase):
    """The successor reads a submission late, which the former one has run."""

    def play(self, submitted_s, unread_s, has_failed, how):
        move = Move(work_s=0.25, count=3)
        move.fill()
        move.reassign()
        world = move.world
        world.run(submitted_s)
        world.unread_until_s[NEW] = world.now_s + unread_s
        for server in world.servers.values():
            server.failing = has_failed
        move.submit()
        world.run(0.3)
        for server in world.servers.values():
            server.failing = False
        move.disturb(OLD, how)
        return move.finish()

    # Guards against TWICE: the successor took a job for new that it had read
    # after it opened the partition, and started the tasks that were done.
    def test_a_job_that_is_read_late_is_not_started_again(self):
        broken = {}
        for case in itertools.product(
            (0.02, 0.15),
            (1.0, 2.7, 3.5, 5.0, 8.0),
            (False, True),
            ("", "kill", "pause", "restart agents"),
        ):
            found = self.play(*case)
            if found:
                broken[case] = found[:3]
        self.assertEqual({}, broken)


class TestReadWaits(testtools.TestCase):
    # Guards against a takeover that waits for a read that began too early.
    def test_a_read_begins_when_the_former_coordinators_have_ended(self):
        end_s = leaserule.tenure_end_s(10.0)
        partition = Partition(0, 1, 1, end_s, leaserule.takeover_s(end_s))
        for now_s, wait_s in (
            (10.0, POLL_WAIT_S),
            (end_s - 0.2, 0.2),
            (end_s + 0.1, 0.0),
        ):
            waited_s = keptjobs.read_wait_s(partition, now_s)
            self.assertAlmostEqual(wait_s, waited_s)
        partition.read_s = end_s
        self.assertEqual(
            POLL_WAIT_S, keptjobs.read_wait_s(partition, end_s + 0.1)
        )


class TestHandovers(testtools.TestCase):
    """The former coordinator tells its successor that no run goes on."""

    def setUp(self):
        super().setUp()
        self.move = Move()
        self.move.submit()
        self.world = self.move.world
        self.world.run(1.0)

    def partition(self):
        """Returns the partition at its successor."""
        return self.world.entries[NEW].board.kept.partitions[self.move.part]

    # Guards against jobs that stand still for the fence of a coordinator that
    # has stopped their runs.
    def test_a_job_goes_on_soon_after_its_partition_was_handed_over(self):
        self.move.reassign()
        self.world.run(0.6)
        # It is offered the last ends first.
        self.assertLess(self.world.now_s, self.partition().ready_s)
        self.world.run(0.4 + keptjobs.OFFER_S)
        runs = [
            run
            for server in self.world.servers.values()
            for run in server.runs.values()
        ]
        self.assertEqual(self.move.count, len(runs))
        self.assertEqual([], self.move.finish())

    # Guards against work that is lost, since a task is started again before
    # its successor is offered an end that its predecessor could not write.
    def test_ends_of_the_last_moment_count_after_a_handover(self):
        for work_s in (1.2, 1.3, 1.4, 1.5, 1.6):
            move = Move(work_s=work_s)
            move.submit()
            move.world.run(1.0)
            move.reassign()
            self.assertEqual([], move.finish())
            ends = [
                end
                for name, runs in move.world.runs().items()
                if name.job == JOB
                for *_, end in runs
            ]
            self.assertEqual(move.count, ends.count("done"), work_s)

    # Guards against TWICE: a handover is of the coordinator before the last.
    def test_a_handover_of_another_coordinator_is_ignored(self):
        self.move.reassign()
        self.move.turn_away(OLD, "turned away")
        self.world.run(0.1)
        partition = self.partition()
        ready_s = partition.ready_s
        for epoch in (partition.former_epoch - 1, partition.epoch, -1):
            keptjobs.on_handover(
                self.world.entries[NEW].board,
                partition.number,
                partition.epoch,
                epoch,
            )
        self.assertEqual(ready_s, partition.ready_s)

    # Guards against TWICE: a coordinator hands over what runs of its
    # predecessor still work on.
    def test_a_coordinator_that_was_not_ready_does_not_hand_over(self):
        self.move.reassign()
        self.move.turn_away(OLD, "turned away")
        self.world.run(0.3)
        self.move.reassign(THIRD)
        self.world.run(0.7)
        board = self.world.entries[NEW].board
        self.assertEqual(1, len(board.kept.handovers))
        self.assertEqual([], keptjobs.take_handovers(board))
        self.assertEqual([], self.move.finish())

    # Guards against TWICE: the stop of a run is not answered.
    def test_a_partition_with_a_run_is_not_handed_over(self):
        for agent in self.world.agents.values():
            self.world.freeze(agent, 1.0)
        self.move.reassign()
        self.world.run(0.7)
        board = self.world.entries[OLD].board
        self.assertEqual(1, len(board.kept.handovers))
        self.assertEqual([], self.move.finish())
        self.assertEqual([], board.kept.handovers)
