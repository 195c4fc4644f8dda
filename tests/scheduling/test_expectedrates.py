"""Tests of what entries expect of the capacity, each for one load pattern."""

import collections
import dataclasses

import testtools

from egretthread.scheduling import (
    agentviews,
    entryengine,
    expectedrates,
    shareboard,
    waitingload,
)
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.loadsettings import LoadSettings, ShareRule
from tests.scheduling import loads, region

# Time in which agents that were killed are back.
AGENTS_BACK_S = 0.55
# How long the callers of lost agents wait.
CALLER_WAIT_S = 4.0


def served_share(results):
    """Returns the share of callers that got a complete answer."""
    outcomes = collections.Counter(result.outcome for result in results)
    return outcomes[Outcome.COMPLETED] / len(results)


def office_factor(world, share):
    """Returns the factor at which the office's mix needs a share of the CPU."""
    capacity = sum(
        server.capacity.cpu * server.speed for server in world.servers.values()
    )
    offered = sum(kind.rate * kind.tasks * kind.work_s for kind in loads.OFFICE)
    return share * capacity / (offered * 5000 * len(world.servers))


def outcomes_since(world, mix, since_s):
    """Returns the number of each outcome of jobs submitted since a time."""
    answers = {job: outcome for job, outcome, _ in world.answers}
    return collections.Counter(
        answers.get(name)
        for name, (_, submitted_s) in mix.jobs.items()
        if submitted_s >= since_s
    )


class TestRestart(testtools.TestCase):
    """Load pattern: everything restarts, and callers of two seconds return.

    The backlog is a second of the capacity, and half of the capacity is left
    for it. Callers wait for 3 s and more, so all of them could be served.
    """

    def outcomes(self, seed):
        world, mix = loads.office_world(6, 20, seed)
        world.run(2.5)
        usual = office_factor(world, 0.5)
        mix.offer(2.0, usual)
        world.run(2.0)
        for process in (*world.entries.values(), *world.agents.values()):
            world.kill(process, 1.0 + world.rng.uniform(0.0, 0.4))
        for name, server in world.servers.items():
            server.crash(world.now_s)
            world.at(1.5, world._restart_server, name)
        world.run(1.5)
        since_s = world.now_s
        mix.offer(0.3, usual * 2.0 / 0.3)
        mix.offer(3.0, usual)
        world.finish(9.0)
        self.assertEqual([], world.violations())
        return outcomes_since(world, mix, since_s)

    def test_few_callers_are_refused(self):
        outcomes = sum(map(self.outcomes, (1, 2, 3)), collections.Counter())
        refused = outcomes[Outcome.REFUSED]
        self.assertLess(refused, 0.05 * outcomes.total())


class TestBurst(testtools.TestCase):
    """Load pattern: a burst at one of two entries after calm seconds.

    Its callers wait for 1.5 s, in which half of the capacity, the share of one
    entry, serves work of 0.75 s of the whole.
    """

    def outcomes(self, size_s):
        world = region.Region(entries=2, agents=8)
        offered = loads.Load(world)
        rate = loads.capacity_rate(world)
        offered.offer(0.1 * rate, 12.0, loads.lookup)
        world.run(12.0)
        since_s = world.now_s
        offered.offer(size_s * rate / 0.02, 0.02, loads.lookup, entries=["e0"])
        world.finish(4.0)
        self.assertEqual([], world.violations())
        return [r for r in offered.results() if r.submitted_s >= since_s]

    def test_a_burst_that_can_be_served_is_served(self):
        for size_s in (0.08, 0.3, 0.5):
            self.assertEqual(1.0, served_share(self.outcomes(size_s)))

    def test_of_a_burst_that_is_too_large_the_rest_is_refused_at_once(self):
        results = self.outcomes(2.0)
        refused = [r for r in results if r.outcome is Outcome.REFUSED]
        self.assertGreater(len(refused), len(results) / 4)
        waits_s = sorted(result.took_s for result in refused)
        self.assertEqual(0.0, waits_s[len(waits_s) // 2])


class TestOverload(testtools.TestCase):
    """Load pattern: 1.5 times the capacity for 4 s, after calm seconds.

    The work of 6 s is done within 6 s, and most callers wait longer than the
    2 s by which theirs is late.
    """

    def test_callers_that_wait_long_enough_are_served(self):
        world, mix = loads.office_world(6, 20, 1)
        world.run(2.5)
        mix.offer(3.0, office_factor(world, 0.4))
        world.run(3.0)
        since_s = world.now_s
        mix.offer(4.0, office_factor(world, 1.5))
        world.finish(9.0)
        self.assertEqual([], world.violations())
        outcomes = outcomes_since(world, mix, since_s)
        completed = outcomes[Outcome.COMPLETED]
        self.assertGreater(completed, 0.8 * outcomes.total())


class TestLostAgents(testtools.TestCase):
    """Load pattern: every agent is killed under half of the full load."""

    def play(self, back_s, settings=region.NO_LOAD_DECISIONS):
        world = region.Region(entries=2, agents=8, load_settings=settings)
        load = loads.Load(world)
        world.run(2.5)
        rate = 0.5 * loads.capacity_rate(world)
        load.offer(rate, 6.0, loads.lookup, CALLER_WAIT_S)
        world.run(3.0)
        for process in tuple(world.agents.values()):
            world.kill(process, back_s)
        self.killed_s = world.now_s
        world.finish(8.0)
        self.assertEqual([], world.violations())
        return load.results()

    def test_callers_wait_for_agents_that_come_back(self):
        results = [
            result
            for result in self.play(AGENTS_BACK_S)
            if result.submitted_s > self.killed_s
        ]
        self.assertGreater(served_share(results), 0.99)

    def test_without_agents_for_long_callers_are_refused_at_once(self):
        results = [
            result
            for result in self.play(60.0)
            if result.submitted_s > self.killed_s + agentviews.RETURN_S
        ]
        self.assertEqual({0.0}, {result.took_s for result in results})

    def test_agents_of_a_withdrawn_zone_are_not_expected(self):
        world = region.Region(entries=1, agents=4, zones="x")
        world.run(2.5)
        state = dataclasses.replace(
            world.operators, offset=2, withdrawn=frozenset("x")
        )
        board = world.entries["e0"].board
        world.run_event(
            world.entries["e0"], entryengine.on_operators, board, state
        )
        world.submit(region.job("j"), "e0", 1.5)
        ((_, outcome, _),) = world.answers
        self.assertIs(Outcome.REFUSED, outcome)

    def test_a_restarted_agent_counts_once(self):
        world = region.Region(entries=1, agents=4)
        world.run(2.5)
        board = world.entries["e0"].board
        whole_cpu = self.known_cpu(board)
        world.kill(world.agents["a0"], 0.3)
        world.run(0.1)
        self.assertEqual(whole_cpu, self.known_cpu(board))
        world.run(0.6)
        self.assertEqual(whole_cpu, self.known_cpu(board))

    def known_cpu(self, board):
        service = region.ROUTE.service
        usable = waitingload.usable_views(board, service, is_confined=False)
        return expectedrates.known_cpu(board, service, usable)


class TestRates(testtools.TestCase):
    """Load pattern: work waits at an entry that has measured little."""

    def board(self, entries=2):
        world = region.Region(entries=entries, agents=4)
        world.run(2.5)
        return world.entries["e0"].board

    def test_after_a_calm_time_the_share_of_the_capacity_counts(self):
        board = self.board()
        self.assertEqual(16_000, expectedrates.dispatch_rate(board, 0, 32_000))

    def test_in_a_long_backlog_the_measured_rate_counts(self):
        board = self.board()
        board.backlog_since_s = board.discovered_s = board.now_s - 20.0
        board.dispatched_work.add(board.now_s, 0, 3000.0)
        rate = expectedrates.dispatch_rate(board, 0, 32_000)
        self.assertAlmostEqual(3000.0, rate, places=3)

    def test_a_rate_is_measured_anew_when_agents_have_been_found(self):
        board = self.board()
        board.backlog_since_s = board.now_s - 20.0
        board.discovered_s = board.now_s
        rate = expectedrates.dispatch_rate(board, 0, 32_000)
        self.assertEqual(16_000, rate)

    def test_more_urgent_work_is_left_its_rate(self):
        board = self.board()
        board.usual_work.add(board.now_s, 0, 5 * 4000.0)
        self.assertEqual(16_000, expectedrates.dispatch_rate(board, 0, 32_000))
        self.assertEqual(12_000, expectedrates.dispatch_rate(board, 1, 32_000))

    def test_before_any_arrival_a_usual_one_is_assumed(self):
        surplus_rate = expectedrates.surplus_rate(self.board(), 32_000)
        share = 1 - expectedrates.USUAL_UTILISATION
        self.assertAlmostEqual(share * 16_000, surplus_rate)


class TestReview(testtools.TestCase):
    """Load pattern: a queue from which some jobs are given up."""

    def test_a_job_that_leaves_no_longer_counts(self):
        world = region.Region(entries=1, agents=1)
        world.run(2.5)
        board = world.entries["e0"].board
        for number in range(4):
            world.submit(region.job(f"j{number}", count=8), "e0", 9.0)
        leaving = set()
        ahead = {}
        met_all = 0.0
        for task, met in waitingload.iter_loads(board, leaving):
            ahead.setdefault(task.job.id, met.ahead_cpu_s)
            met_all = max(met_all, met.waiting_cpu_s)
            leaving.add("j2")
        self.assertEqual(ahead["j2"], ahead["j3"])
        self.assertLess(ahead["j1"], ahead["j2"])
        loads_met = dict.fromkeys(ahead)
        for task, met in waitingload.iter_loads(board, {"j0", "j1", "j2"}):
            loads_met[task.job.id] = met
        self.assertLess(loads_met["j3"].waiting_cpu_s, met_all)

    def test_a_job_that_leaves_no_longer_counts_in_its_share(self):
        rule = ShareRule("all", limit=0.1)
        settings = LoadSettings(shares=(rule,))
        world = region.Region(entries=1, agents=1, load_settings=settings)
        world.run(2.5)
        board = world.entries["e0"].board
        for number in range(4):
            world.submit(region.job(f"j{number}", count=8), "e0", 9.0)
        service = region.ROUTE.service
        board.shares.uses[service, "other"] = shareboard.ShareUse(
            needed_s=board.now_s
        )
        ahead = {}
        leaving = set()
        for task, met in waitingload.iter_loads(board, leaving):
            ahead.setdefault(task.job.id, met.ahead_cpu_s)
            leaving.add(task.job.id)
        self.assertEqual(0.0, ahead["j3"])
