"""Tests of entries and agents together, under faults."""

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


class TestCalmRegion(testtools.TestCase):
    def test_a_job_is_completed_in_its_run_time(self):
        world = region.Region()
        world.run(2.0)
        world.submit(region.job("j"))
        world.run(0.3)
        self.assertEqual(
            [("j", Outcome.COMPLETED)], [answer[:2] for answer in world.answers]
        )
        self.assertLess(world.answers[0][2], 102.2)

    def test_wide_jobs_wait_for_room_and_are_completed(self):
        world = region.Region(agents=2, cpu=4000)
        world.run(2.0)
        world.submit(region.job("wide", count=30))
        world.finish(5.0)
        self.assertEqual(1, len(completed(world)))
        self.assertEqual([], world.violations())

    def test_a_job_that_cannot_be_done_in_time_is_refused_at_once(self):
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
    def test_jobs_that_come_before_the_agents_are_there_wait(self):
        world = region.Region(entries=1, agents=2)
        world.submit(region.job("j"), "e0")
        world.finish(3.0)
        self.assertEqual(1, len(completed(world)))

    def test_without_agents_jobs_are_refused_once_the_start_is_over(self):
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
        """Many jobs come after a lull, when heartbeats are a second apart."""
        world = region.Region(entries=1, agents=1)
        world.run(3.95)
        board = world.entries["e0"].board
        (view,) = board.agents.values()
        self.assertGreater(world.now_s - view.heard_s, 0.5)
        world.submit(region.job("first"), "e0")
        self.assertTrue(agentviews.is_usable(board, view))
        world.submit(region.job("second"), "e0")
        self.assertEqual([], board.waiting)

    def test_an_agent_that_says_nothing_after_an_order_is_left_out(self):
        world = region.Region(entries=1, agents=1)
        world.run(2.0)
        world.cut("e0", "a0", 5.0)
        world.submit(region.job("j"), "e0")
        board = world.entries["e0"].board
        (view,) = board.agents.values()
        world.run(agentviews.SUSPECT_BUSY_S + 0.1)
        self.assertFalse(agentviews.is_usable(board, view))


class TestBacklog(testtools.TestCase):
    def test_room_that_was_freed_is_used_at_once(self):
        """Short tasks queue up for a server that is full."""
        world = region.Region(entries=1, agents=1, cpu=1000)
        world.run(2.5)
        world.submit(region.job("j", count=5), "e0", 9.0)
        world.finish(2.0)
        rows = sorted(row for rows in world.runs().values() for row in rows)
        self.assertEqual(5, len(rows))
        idle_s = [
            later[0] - earlier[1] for earlier, later in itertools.pairwise(rows)
        ]
        # Two ways of a message, an order and a pause of the entry.
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
        """Two jobs want one rack that has room for one of them."""
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

    def test_tasks_wait_for_their_rack_while_they_can_be_in_time(self):
        """Many jobs want the same rack, and elsewhere they would be late."""
        self.assertEqual([8, 0], self.rack_starts(objective_s=0.08))

    def test_tasks_leave_their_rack_when_they_are_in_time_elsewhere(self):
        self.assertEqual([4, 4], self.rack_starts(objective_s=0.5))

    def test_urgent_tasks_wait_only_where_they_may_run(self):
        world = region.Region(entries=1, agents=2, cpu=1000)
        world.run(2.0)
        self.submit(world, required_label="nowhere")
        world.finish(5.0)
        self.assertEqual({}, world.runs())

    def test_a_step_waits_for_the_steps_it_comes_after(self):
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        first = StepSpec(3, Room(1000, 64, 0), 0.1)
        second = StepSpec(2, Room(1000, 64, 0), 0.1, after=(0,))
        world.submit(JobSpec("j", "payload", (first, second)), "e0", 3.0)
        world.finish(3.0)
        self.assertEqual(1, len(completed(world)))
        rows = world.runs().items()
        ends = [row[1] for name, runs in rows if not name.step for row in runs]
        starts = [row[0] for name, runs in rows if name.step for row in runs]
        self.assertEqual(2, len(starts))
        self.assertGreater(min(starts), max(ends))


class TestRecords(testtools.TestCase):
    def test_an_agent_hands_the_records_to_entries_that_are_behind(self):
        """All entries were replaced while the store was out."""
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
            beat = EntryBeat(0, offset, False, True)
            agentengine.on_message(agent.board, entry.board.node, beat)
        sent = [item for _, item in agent.board.outbox]
        self.assertEqual([record], sent)


class TestLinks(testtools.TestCase):
    def test_an_order_on_a_new_link_is_not_taken_as_lost(self):
        """The list of live runs may be older than the first order."""
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        world.reset_pair("e0", "a0")
        world.reset_pair("e0", "a1")
        # The entry's end opens first; a job comes in that very moment.
        world.at(region.RECONNECT_S, world.submit, region.job("j"), "e0")
        world.run(1.0)
        world.finish(2.0)
        self.assertEqual([], world.violations())
        self.assertEqual(4, sum(len(rows) for rows in world.runs().values()))

    def test_runs_go_on_while_a_link_is_opened_afresh(self):
        world = region.Region(entries=1, agents=1, work_s=lambda name: 0.6)
        world.run(2.0)
        world.submit(region.job("j"))
        world.run(0.2)
        world.reset_pair("e0", "a0")
        world.finish(3.0)
        self.assertEqual(1, len(completed(world)))
        self.assertEqual(4, sum(len(rows) for rows in world.runs().values()))

    def test_runs_of_a_dead_entry_end_before_the_job_comes_again(self):
        world = region.Region(entries=2, work_s=lambda name: 2.0)
        world.run(2.0)
        world.submit(region.job("j", estimated_s=2.0), "e0", 9.0)
        world.run(0.5)
        world.kill(world.entries["e0"], 5.0)
        world.finish(12.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))

    def test_a_cut_off_agent_loses_its_runs_to_others(self):
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
    def test_a_run_that_stands_still_is_moved(self):
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        world.servers["a0"].speed = 0.0
        world.submit(region.job("j", count=8), "e0", 3.0)
        world.finish(5.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))

    def test_a_crashed_server_loses_its_runs_to_others(self):
        world = region.Region(entries=1, agents=2)
        world.run(2.0)
        world.submit(region.job("j", count=8), "e0", 3.0)
        world.run(0.05)
        world.servers["a0"].crash(world.now_s)
        world.finish(5.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))

    def test_orders_without_an_answer_never_run_a_task_twice(self):
        world = region.Region(seed=5)
        world.lost_share = 0.2
        world.late_share = 0.5
        world.run(2.0)
        for number in range(30):
            world.submit(region.job(f"j{number}"))
            world.run(0.1)
        world.finish(20.0)
        self.assertEqual([], world.violations())

    def test_an_agent_that_woke_up_serves_again(self):
        """A start without an answer has to be barred first."""
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

    def test_a_restarted_agent_stops_what_its_predecessor_started(self):
        world = region.Region(entries=1, agents=2, work_s=lambda name: 1.5)
        world.run(2.0)
        world.submit(region.job("j", count=8, estimated_s=1.5), "e0", 9.0)
        world.run(0.3)
        world.kill(world.agents["a0"], 0.2)
        world.finish(12.0)
        self.assertEqual([], world.violations())
        self.assertEqual(1, len(completed(world)))


def play(seed, steps=40, kept=False):
    """Plays one random history and returns the region.

    Args:
        seed: Source of all choices.
        steps: Steps that it takes.
        kept: Whether there are kept jobs, and faults of their log.
    """
    rng = random.Random(seed)
    world = region.Region(
        entries=rng.choice((1, 2, 3)),
        agents=rng.choice((1, 2, 4)),
        cpu=rng.choice((2000, 8000)),
        seed=seed,
        work_s=lambda name: 0.05 + 3.0 * (hash_of(name, seed) ** 3),
    )
    world.lost_share = rng.choice((0.0, 0.0, 0.05))
    world.late_share = rng.choice((0.0, 0.5))
    world.run(2.0)
    for step in range(steps):
        chosen = rng.choices(*KEPT_STEPS if kept else (STEPS, WEIGHTS))[0]
        chosen(world, rng, step)
        world.run(rng.choice((0.01, 0.1, 0.4)))
    world.lost_share = world.log.lost_share = 0.0
    world.log.is_out = False
    for server in world.servers.values():
        server.speed = 1.0
        server.failing = False
    world.finish(80.0 if kept else 25.0)
    return world


def hash_of(name, seed):
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


def _break_caller(world, rng, step):
    if world.callers:
        world.drop_caller(rng.choice(list(world.callers.values())), True)


def _crash(world, rng, step):
    server = rng.choice(list(world.servers.values()))
    if not server.down:
        server.crash(world.now_s)
        world.at(
            rng.uniform(0.2, 3.0), lambda: server.start_incarnation(world.now_s)
        )


def _slow(world, rng, step):
    server = rng.choice(list(world.servers.values()))
    server.advance(world.now_s)
    server.speed = rng.choice((0.0, 0.2, 1.0, 1.0))


def _fail(world, rng, step):
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


def _lose_log(world, rng, step):
    world.log.is_out = not world.log.is_out


def _cut_log(world, rng, step):
    name = rng.choice(list(world.entries))
    world.log.cut_s[name] = world.now_s + rng.uniform(0.5, 8.0)


def _lose_writes(world, rng, step):
    world.log.lost_share = rng.choice((0.0, 0.5))


def _deal_parts(world, rng, step):
    world.log.deal()


def _kill_all(world, rng, step):
    for process in (*world.entries.values(), *world.agents.values()):
        if process.alive:
            world.kill(process, rng.uniform(0.2, 1.0))


STEPS = (
    _submit,
    _kill_entry,
    _kill_agent,
    _freeze,
    _cut,
    _reset,
    _break_caller,
    _crash,
    _slow,
    _fail,
)
WEIGHTS = (20, 1, 1, 2, 2, 2, 2, 1, 2, 1)
KEPT_STEPS = (
    (
        *STEPS,
        _submit_kept,
        _cancel_kept,
        _lose_log,
        _cut_log,
        _lose_writes,
        _deal_parts,
        _kill_all,
    ),
    (*WEIGHTS, 20, 2, 2, 3, 2, 1, 1),
)


class TestHistories(testtools.TestCase):
    def test_random_histories_keep_the_promises(self):
        for seed in range(60):
            world = play(seed)
            self.assertEqual([], world.violations(), f"seed {seed}")
