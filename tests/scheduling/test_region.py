"""Tests of entries and agents in a simulated region, also under faults."""

import dataclasses
import itertools
import random

import testtools

from egretthread.scheduling import agentengine, agentviews, entryengine
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.jobspec import JobSpec, StepSpec
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import EntryBeat, OperatorRecord
from tests.scheduling import region


def completed(world):
    return [a for a in world.answers if a[1] is Outcome.COMPLETED]


class TestWithoutFaults(testtools.TestCase):
    def test_a_job_is_completed_in_its_run_time(self):
        world = region.Region()
        world.run(2.0)
        world.submit(region.job("j"))
        world.run(0.3)
        self.assertEqual(
            [("j", Outcome.COMPLETED)], [answer[:2] for answer in world.answers]
        )
        self.assertLess(world.answers[0][2], 102.2)

    def test_wide_jobs_wait_for_free_capacity_and_are_completed(self):
        world = region.Region(agents=2, cpu=4000)
        world.run(2.0)
        world.submit(region.job("wide", count=30))
        world.finish(5.0)
        self.assertEqual(1, len(completed(world)))
        self.assertEqual([], world.violations())

    def test_jobs_that_cannot_end_in_time_are_refused_immediately(self):
        world = region.Region(agents=1, cpu=1000)
        world.run(2.0)
        for number in range(20):
            world.submit(region.job(f"j{number}", estimated_s=0.5), "e0", 2.0)
        world.run(0.01)
        refused = [a for a in world.answers if a[1] is Outcome.REFUSED]
        self.assertGreater(len(refused), 8)
        world.finish(5.0)
        self.assertEqual([], world.violations())


class TestStart(testtools.TestCase):
    def test_jobs_wait_for_agents_during_the_start(self):
        world = region.Region(entries=1, agents=2)
        world.submit(region.job("j"), "e0")
        world.finish(3.0)
        self.assertEqual(1, len(completed(world)))

    def test_jobs_without_agents_are_refused_after_the_start(self):
        world = region.Region(entries=1, agents=0)
        world.submit(region.job("early"), "e0", 9.0)
        world.run(2.5)
        world.submit(region.job("later"), "e0", 9.0)
        world.run(0.1)
        outcomes = {answer[1] for answer in world.answers}
        self.assertEqual(2, len(world.answers))
        self.assertEqual({Outcome.REFUSED}, outcomes)


class TestFirstOrder(testtools.TestCase):
    def test_an_idle_agent_stays_in_use_after_its_first_order(self):
        """Heartbeats of an idle agent are a second apart.

        After the first order, the shorter limit for a busy agent applies. The
        agent must not count as silent before that order has reached it.
        """
        world = region.Region(entries=1, agents=1)
        world.run(3.95)
        board = world.entries["e0"].board
        (view,) = board.agents.values()
        self.assertGreater(world.now_s - view.last_received_s, 0.5)
        world.submit(region.job("first"), "e0")
        self.assertTrue(agentviews.is_usable(board, view))
        world.submit(region.job("second"), "e0")
        self.assertEqual([], board.waiting)

    def test_an_idle_agent_accepts_an_order_that_echoes_an_old_reading(self):
        world = region.Region(entries=1, agents=1)
        world.run(3.95)
        world.submit(region.job("first"), "e0")
        world.finish(2.0)
        self.assertEqual(1, len(completed(world)))
        self.assertEqual(0, world.agents["a0"].board.counters["runs_refused"])

    def test_an_agent_that_is_silent_after_an_order_gets_no_more_runs(self):
        world = region.Region(entries=1, agents=1)
        world.run(2.0)
        world.cut("e0", "a0", 5.0)
        world.submit(region.job("j"), "e0")
        board = world.entries["e0"].board
        (view,) = board.agents.values()
        world.run(agentviews.SUSPECT_BUSY_S + 0.1)
        self.assertFalse(agentviews.is_usable(board, view))


class TestBacklog(testtools.TestCase):
    def test_freed_capacity_is_used_immediately(self):
        """Short tasks wait for a backend server that has no free capacity."""
        world = region.Region(entries=1, agents=1, cpu=1000)
        world.run(2.5)
        world.submit(region.job("j", count=5), "e0", 9.0)
        world.finish(2.0)
        runs = sorted(
            run for task_runs in world.runs().values() for run in task_runs
        )
        self.assertEqual(5, len(runs))
        idle_s = [
            later[0] - earlier[1] for earlier, later in itertools.pairwise(runs)
        ]
        # Two message delays, a start call and a pause of the entry.
        self.assertLess(max(idle_s), 0.012)


class TestSteps(testtools.TestCase):
    def submit(self, world, **fields):
        step = StepSpec(4, Room(1000, 64, 0), 0.1, **fields)
        world.submit(JobSpec("j", "payload", (step,)), "e0", 3.0)

    def test_a_limit_per_server_holds_within_one_pass(self):
        world = region.Region(entries=1, agents=4)
        world.run(2.0)
        self.submit(world, max_per_server=1)
        world.finish(3.0)
        self.assertEqual(1, len(completed(world)))
        runs = [len(server.history) for server in world.servers.values()]
        self.assertEqual([1, 1, 1, 1], runs)

    def rack_starts(self, objective_s):
        """Returns the runs by rack of two jobs with data on the first rack.

        The backend server on that rack has capacity for one of the jobs.
        """
        world = region.Region(entries=1, agents=2, cpu=4000)
        world.servers["a1"].rack = "r2"
        world.run(3.0)
        for process in world.entries.values():
            process.board.remote_factor = 3.0
        route = dataclasses.replace(region.ROUTE, objective_s=objective_s)
        step = StepSpec(4, Room(1000, 64, 0), 0.1, data_rack="r1")
        for name in ("j", "k"):
            spec = JobSpec(name, "payload", (step,))
            world.submit(spec, "e0", 3.0, route)
        world.finish(3.0)
        self.assertEqual(2, len(completed(world)))
        return [len(server.history) for server in world.servers.values()]

    def test_tasks_wait_for_their_rack_if_they_would_be_late_elsewhere(self):
        self.assertEqual([8, 0], self.rack_starts(objective_s=0.08))

    def test_tasks_run_on_another_rack_if_they_are_in_time_there(self):
        self.assertEqual([4, 4], self.rack_starts(objective_s=0.5))

    def test_urgent_tasks_do_not_start_without_their_required_label(self):
        world = region.Region(entries=1, agents=2, cpu=1000)
        world.run(2.0)
        self.submit(world, required_label="nowhere")
        world.finish(5.0)
        self.assertEqual({}, world.runs())

    def test_a_step_waits_for_the_steps_it_depends_on(self):
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        first = StepSpec(3, Room(1000, 64, 0), 0.1)
        second = StepSpec(2, Room(1000, 64, 0), 0.1, after=(0,))
        world.submit(JobSpec("j", "payload", (first, second)), "e0", 3.0)
        world.finish(3.0)
        self.assertEqual(1, len(completed(world)))
        runs_by_task = world.runs().items()
        ends = [
            run[1]
            for name, runs in runs_by_task
            if not name.step
            for run in runs
        ]
        starts = [
            run[0] for name, runs in runs_by_task if name.step for run in runs
        ]
        self.assertEqual(2, len(starts))
        self.assertGreater(min(starts), max(ends))


class TestOperatorRecords(testtools.TestCase):
    def test_an_agent_sends_its_records_to_entries_with_older_ones(self):
        """All entries may be replaced while the store is unavailable."""
        world = region.Region(entries=1, agents=1)
        world.run(2.0)
        entry, agent = world.entries["e0"], world.agents["a0"]
        self.assertEqual(
            [agent.board.node], entryengine.stale_record_replicas(entry.board)
        )
        self.assertEqual([], entryengine.stale_record_replicas(entry.board))
        record = OperatorRecord(7, "records")
        agentengine.on_message(agent.board, entry.board.node, record)
        older = OperatorRecord(5, "older")
        agentengine.on_message(agent.board, entry.board.node, older)
        agent.board.outbox.clear()
        for offset in (6, 6, 7):
            heartbeat = EntryBeat(0, offset, False, True)
            agentengine.on_message(agent.board, entry.board.node, heartbeat)
        sent = [message for _, message in agent.board.outbox]
        self.assertEqual([record], sent)


class TestLinks(testtools.TestCase):
    def test_an_order_on_a_new_link_does_not_count_as_lost(self):
        """The agent's list of live runs may be older than the first order."""
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        world.reset_pair("e0", "a0")
        world.reset_pair("e0", "a1")
        # The entry's end opens first, and a job arrives at the same time.
        world.at(region.RECONNECT_S, world.submit, region.job("j"), "e0")
        world.run(1.0)
        world.finish(2.0)
        self.assertEqual([], world.violations())
        self.assertEqual(4, sum(len(runs) for runs in world.runs().values()))

    def test_runs_continue_while_a_link_is_reopened(self):
        world = region.Region(entries=1, agents=1, work_s=lambda name: 0.6)
        world.run(2.0)
        world.submit(region.job("j"))
        world.run(0.2)
        world.reset_pair("e0", "a0")
        world.finish(3.0)
        self.assertEqual(1, len(completed(world)))
        self.assertEqual(4, sum(len(runs) for runs in world.runs().values()))

    def test_runs_of_a_dead_entry_end_before_the_job_is_resubmitted(self):
        world = region.Region(entries=2, work_s=lambda name: 2.0)
        world.run(2.0)
        world.submit(region.job("j", estimated_s=2.0), "e0", 9.0)
        world.run(0.5)
        world.kill(world.entries["e0"], 5.0)
        world.finish(12.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))

    def test_runs_of_a_partitioned_agent_are_moved(self):
        world = region.Region(
            entries=1, agents=2, cpu=4000, work_s=lambda name: 1.0
        )
        world.run(2.0)
        world.submit(region.job("j", estimated_s=1.0), "e0", 9.0)
        world.run(0.3)
        world.cut("e0", "a0", 6.0)
        world.finish(12.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))


class TestServers(testtools.TestCase):
    def test_a_stalled_run_is_moved(self):
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        world.servers["a0"].speed = 0.0
        world.submit(region.job("j", count=8), "e0", 3.0)
        world.finish(5.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))

    def test_runs_of_a_crashed_server_are_moved(self):
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        world.submit(region.job("j", count=8), "e0", 3.0)
        world.run(0.05)
        world.servers["a0"].crash(world.now_s)
        world.finish(5.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))

    def test_unanswered_calls_never_run_a_task_twice_at_once(self):
        world = region.Region(seed=5)
        world.lost_share = 0.2
        world.late_share = 0.5
        world.run(2.0)
        for number in range(30):
            world.submit(region.job(f"j{number}"))
            world.run(0.1)
        world.finish(20.0)
        self.assertEqual([], world.violations())

    def test_an_agent_starts_runs_again_after_it_was_frozen(self):
        """A start call without an answer has to be blocked first."""
        world = region.Region(entries=1, agents=1)
        world.run(2.0)
        world.lost_share = 1.0
        world.submit(region.job("early"), "e0", 1.0)
        world.run(0.02)
        world.freeze(world.agents["a0"], 2.0)
        world.run(2.05)
        world.lost_share = 0.0
        world.run(4.0)
        world.submit(region.job("later"), "e0", 3.0)
        world.finish(4.0)
        self.assertEqual(["later"], [answer[0] for answer in completed(world)])
        self.assertEqual([], world.violations())

    def test_a_restarted_agent_stops_runs_of_its_old_process(self):
        world = region.Region(entries=1, agents=2, work_s=lambda name: 1.5)
        world.run(2.0)
        world.submit(region.job("j", count=8, estimated_s=1.5), "e0", 9.0)
        world.run(0.3)
        world.kill(world.agents["a0"], 0.2)
        world.finish(12.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))


def play(seed, steps=40, kept=False, load_settings=region.NO_LOAD_DECISIONS):
    """Runs one random history and returns its region.

    Args:
        seed: Seed of all random choices.
        steps: Number of random events.
        kept: Whether to include kept jobs and faults of their log.
        load_settings: Which decisions under load its processes make.
    """
    rng = random.Random(seed)
    world = region.Region(
        entries=rng.choice((1, 2, 3)),
        agents=rng.choice((1, 2, 4)),
        cpu=rng.choice((2000, 8000)),
        seed=seed,
        work_s=lambda name: 0.05 + 3.0 * (random_share(name, seed) ** 3),
        load_settings=load_settings,
    )
    world.lost_share = rng.choice((0.0, 0.0, 0.05))
    world.late_share = rng.choice((0.0, 0.5))
    world.run(2.0)
    for step in range(steps):
        event = rng.choices(*KEPT_EVENTS if kept else (EVENTS, WEIGHTS))[0]
        event(world, rng, step)
        world.run(rng.choice((0.01, 0.1, 0.4)))
    world.lost_share = world.log.lost_share = 0.0
    world.log.is_out = False
    for server in world.servers.values():
        server.speed = 1.0
        server.failing = False
    world.finish(80.0 if kept else 25.0)
    return world


def random_share(name, seed):
    return random.Random(f"{name}{seed}").random()


def _submit(world, rng, step):
    count = rng.choice((1, 3, 8))
    estimated_s = rng.choice((0.05, 0.2, 0.8))
    spec = region.job(f"j{step}", count, estimated_s=estimated_s)
    route = rng.choice((region.ROUTE, region.LONG_ROUTE))
    world.submit(spec, None, rng.choice((1.0, 4.0, 9.0)), route)


def _kill_entry(world, rng, step):
    world.kill(rng.choice(list(world.entries.values())), rng.uniform(0.2, 2))


def _kill_agent(world, rng, step):
    world.kill(rng.choice(list(world.agents.values())), rng.uniform(0.2, 2))


def _freeze(world, rng, step):
    processes = [*world.entries.values(), *world.agents.values()]
    world.freeze(rng.choice(processes), rng.uniform(0.1, 4.0))


def _cut(world, rng, step):
    entry = rng.choice(list(world.entries))
    agent = rng.choice(list(world.agents))
    world.cut(entry, agent, rng.uniform(0.1, 4.0))


def _reset(world, rng, step):
    if world.links:
        world.reset(rng.choice(list(world.links.values())))


def _drop_caller(world, rng, step):
    if world.callers:
        world.drop_caller(rng.choice(list(world.callers.values())), True)


def _crash(world, rng, step):
    server = rng.choice(list(world.servers.values()))
    if not server.down:
        server.crash(world.now_s)
        world.at(
            rng.uniform(0.2, 3.0), lambda: server.start_incarnation(world.now_s)
        )


def _change_speed(world, rng, step):
    server = rng.choice(list(world.servers.values()))
    server.advance(world.now_s)
    server.speed = rng.choice((0.0, 0.2, 1.0, 1.0))


def _toggle_failing(world, rng, step):
    server = rng.choice(list(world.servers.values()))
    server.failing = not server.failing


def _submit_kept(world, rng, step):
    count = rng.choice((1, 3, 8))
    first = StepSpec(count, Room(1000, 64, 0), rng.choice((0.05, 0.2)))
    second = StepSpec(2, Room(1000, 64, 0), 0.1, after=(0,))
    steps = rng.choice(((first,), (first, second)))
    spec = JobSpec(f"k{step}", "payload", steps, kept=True)
    world.submit_kept(spec, rng.choice((region.ROUTE, region.LONG_ROUTE)))


def _cancel_kept(world, rng, step):
    if world.log.submissions:
        world.cancel_kept(rng.choice(list(world.log.submissions)))


def _toggle_log_outage(world, rng, step):
    world.log.is_out = not world.log.is_out


def _cut_off_from_log(world, rng, step):
    name = rng.choice(list(world.entries))
    world.log.cut_s[name] = world.now_s + rng.uniform(0.5, 8.0)


def _lose_write_answers(world, rng, step):
    world.log.lost_share = rng.choice((0.0, 0.5))


def _reassign_partitions(world, rng, step):
    world.log.reassign()


def _kill_all_processes(world, rng, step):
    for process in (*world.entries.values(), *world.agents.values()):
        if process.alive:
            world.kill(process, rng.uniform(0.2, 1.0))


EVENTS = (
    _submit,
    _kill_entry,
    _kill_agent,
    _freeze,
    _cut,
    _reset,
    _drop_caller,
    _crash,
    _change_speed,
    _toggle_failing,
)
WEIGHTS = (20, 1, 1, 2, 2, 2, 2, 1, 2, 1)
KEPT_EVENTS = (
    (
        *EVENTS,
        _submit_kept,
        _cancel_kept,
        _toggle_log_outage,
        _cut_off_from_log,
        _lose_write_answers,
        _reassign_partitions,
        _kill_all_processes,
    ),
    (*WEIGHTS, 20, 2, 2, 3, 2, 1, 1),
)


class TestHistories(testtools.TestCase):
    def test_random_histories_violate_no_guarantee(self):
        for seed in range(60):
            world = play(seed)
            self.assertEqual([], world.violations(), f"seed {seed}")
