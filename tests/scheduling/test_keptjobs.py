"""Tests of kept jobs: coordinators, ends and recovery."""

import testtools

from egretthread.scheduling import keptjobs
from egretthread.scheduling.jobspec import JobSpec, StepSpec
from egretthread.scheduling.room import Room
from tests.scheduling import region, test_region


def kept_job(name, count=4, estimated_s=0.1):
    step = StepSpec(count, Room(1000, 64, 0), estimated_s)
    return JobSpec(name, "payload", (step,), kept=True)


def coordinator(world, job):
    """Returns the entry that coordinates a job."""
    (found,) = [
        entry
        for entry in world.entries.values()
        if keptjobs.state(entry.board, job)[0]
    ]
    return found


class TestKeeping(testtools.TestCase):
    def begin(self, **fields):
        world = region.Region(**fields)
        world.run(6.0)
        return world

    def check(self, world, **states):
        self.assertEqual(states, world.log.states())
        self.assertEqual([], world.violations())

    def test_a_kept_job_is_completed_once(self):
        world = self.begin()
        world.submit_kept(kept_job("k"))
        world.run(0.05)
        owner = coordinator(world, "k")
        self.assertEqual((True, "running"), keptjobs.state(owner.board, "k"))
        world.finish(1.0)
        self.assertEqual((True, "completed"), keptjobs.state(owner.board, "k"))
        world.submit_kept(kept_job("k"))
        world.finish(2.0)
        self.check(world, k="completed")
        self.assertEqual([1] * 4, [len(rows) for rows in world.runs().values()])

    def test_a_job_outlives_its_coordinator(self):
        world = self.begin(work_s=lambda name: 0.5)
        world.submit_kept(kept_job("k", estimated_s=0.5))
        world.run(0.2)
        world.kill(coordinator(world, "k"), 60.0)
        world.finish(12.0)
        self.check(world, k="completed")

    def test_a_job_outlives_every_process(self):
        world = self.begin(work_s=lambda name: 0.5)
        world.submit_kept(kept_job("k", estimated_s=0.5))
        world.run(0.2)
        for process in (*world.entries.values(), *world.agents.values()):
            world.kill(process, 0.5)
        world.finish(12.0)
        self.check(world, k="completed")

    def test_an_end_is_on_the_store_before_the_server_forgets_it(self):
        """The coordinator dies right after the tasks are done."""
        world = self.begin(agents=1)
        world.submit_kept(kept_job("k"))
        server = world.servers["a0"]
        for _ in range(500):
            world.run(0.001)
            if len(server.ended) == 4:
                break
        self.assertEqual(4, len(server.ended))
        world.kill(coordinator(world, "k"), 60.0)
        world.finish(12.0)
        self.check(world, k="completed")
        self.assertEqual([1] * 4, [len(rows) for rows in world.runs().values()])

    def test_an_end_is_void_once_its_task_was_started_again(self):
        """The agent could not reach the coordinator when the task was done.

        Another entry keeps the lease of its backend server going.
        """
        world = self.begin(entries=2, agents=2, work_s=lambda name: 0.3)
        world.submit_kept(kept_job("k", count=1, estimated_s=0.3))
        world.run(0.05)
        owner = coordinator(world, "k")
        (other,) = [e for e in world.entries.values() if e is not owner]
        (first,) = [n for n, s in world.servers.items() if s.runs]
        world.cut(owner.name, first, 4.0)
        for number in range(40):
            spec = region.job(f"j{number}", count=6, estimated_s=0.3)
            world.submit(spec, other.name)
            world.run(0.2)
        world.finish(4.0)
        self.check(world, k="completed")
        (rows,) = [r for n, r in world.runs().items() if n.job == "k"]
        self.assertEqual(["done", "done"], [row[2] for row in rows])

    def test_a_coordinator_that_lost_the_store_stops_its_runs(self):
        """The store assigns its jobs to an entry that still reaches it."""
        world = self.begin(entries=2, work_s=lambda name: 8.0)
        world.submit_kept(kept_job("k", estimated_s=8.0))
        world.run(0.5)
        first = coordinator(world, "k")
        world.log.cut_s[first.name] = world.now_s + 20.0
        world.finish(40.0)
        self.check(world, k="completed")

    def test_a_coordinator_that_cannot_renew_stops_its_runs(self):
        world = self.begin(entries=2, work_s=lambda name: 8.0)
        world.submit_kept(kept_job("k", estimated_s=8.0))
        world.run(0.5)
        first = coordinator(world, "k")
        world.freeze(first, 6.0)
        world.finish(40.0)
        self.check(world, k="completed")

    def test_a_job_is_completed_though_the_store_was_out(self):
        world = self.begin()
        world.submit_kept(kept_job("k"))
        world.run(0.02)
        world.log.is_out = True
        world.run(6.0)
        self.assertEqual({"k": "open"}, world.log.states())
        world.log.is_out = False
        world.finish(12.0)
        self.check(world, k="completed")

    def test_a_job_that_fails_too_often_is_failed(self):
        world = self.begin(entries=1, agents=2)
        for server in world.servers.values():
            server.failing = True
        world.submit_kept(kept_job("k", count=1))
        world.finish(20.0)
        self.check(world, k="failed")
        (rows,) = world.runs().values()
        self.assertEqual(region.ROUTE.max_attempts, len(rows))

    def test_a_cancelled_job_is_stopped(self):
        world = self.begin(work_s=lambda name: 5.0)
        world.submit_kept(kept_job("k", estimated_s=5.0))
        world.run(0.2)
        world.cancel_kept("k")
        world.run(0.2)
        self.assertEqual([], [s.runs for s in world.servers.values() if s.runs])
        world.finish(2.0)
        self.check(world, k="cancelled")

    def test_jobs_that_wait_are_counted(self):
        world = self.begin(entries=1, agents=1, cpu=500)
        world.submit_kept(kept_job("k"))
        world.run(0.1)
        (row,) = keptjobs.pending(world.entries["e0"].board)
        self.assertEqual((region.ROUTE.name, 1), (row.route, row.jobs))

    def test_records_of_jobs_that_ended_long_ago_go(self):
        world = self.begin()
        world.submit_kept(kept_job("k"))
        world.run(keptjobs.STATUS_S - 5.0)
        self.check(world, k="completed")
        world.run(10.0)
        self.check(world)


class TestKeptHistories(testtools.TestCase):
    def test_random_histories_keep_the_promises(self):
        for seed in range(40):
            world = test_region.play(seed, kept=True)
            self.assertEqual([], world.violations(), f"seed {seed}")
