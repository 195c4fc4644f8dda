"""Tests of the shares of the capacity under named loads."""

import dataclasses

import testtools

from egretthread import logs, metrics
from egretthread.scheduling import (
    admission,
    dispatch,
    entryengine,
    entrygauges,
    jobs,
    shares,
    waitingload,
)
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.loadsettings import (
    UNSHARED,
    LoadSettings,
    ShareRule,
)
from egretthread.scheduling.runmessage import RunEnd, RunReport
from tests.scheduling import region, test_region
from tests.scheduling.shareloads import GUEST, LONG, PLAIN, URGENT, Competition

OFF = LoadSettings()
# CPU of a task of `Competition`, in thousandths of a core.
TASK_CPU = 1000
LONG_GUARANTEED = LoadSettings(
    shares=(ShareRule("long", guaranteed=0.3, priority=2),)
)
TWO_ORGANISATIONS = LoadSettings(
    shares=(
        ShareRule("guest", guaranteed=0.1, host="guest"),
        ShareRule("home", guaranteed=0.5, host="h"),
    )
)
GUEST_LIMITED = LoadSettings(
    shares=(ShareRule("guest", limit=0.3, host="guest"),)
)


def burst(settings, **changes):
    """Plays an urgent burst of twice the capacity beside long jobs."""
    competition = Competition(settings, **changes)
    competition.offer("long", LONG, 0.25, 9, run_s=0.5)
    competition.offer("urgent", URGENT, 0.3, 9)
    competition.offer("burst", URGENT, 2.0, 5, after_s=2)
    competition.began_s = competition.world.now_s
    competition.world.finish(13)
    return competition


def during_burst(competition):
    """Returns the share of long jobs in time of those that met the burst."""
    began_s = competition.began_s
    return competition.in_time("long", None, began_s + 2, began_s + 7)


def uses(world):
    """Returns the use of every share at every entry."""
    return [
        use
        for process in world.entries.values()
        for use in process.board.shares.uses.values()
    ]


@dataclasses.dataclass(frozen=True)
class LimitedUse:
    """Use of a limited share after a pass that leaves tasks of others waiting.

    Attributes:
        waited_s: For how long tasks of others have waited without a gap.
        used_cpu: CPU of the share's runs, in thousandths of a core.
        limit_cpu: The most that its limit was since they wait.
        is_ordering: Whether the pass ordered runs of the share.
    """

    waited_s: float
    used_cpu: int
    limit_cpu: float
    is_ordering: bool


class LimitedPasses:
    """Observes what a limited share uses while tasks of others wait.

    Attributes:
        others_left: Its use after each pass that leaves tasks of others.
    """

    def __init__(self, test, competition, name, limit):
        self.name = name
        self.limit = limit
        self.total_cpu = sum(
            server.capacity.cpu for server in competition.world.servers.values()
        )
        self.others_left = []
        self.since = {}
        self.dispatch_waiting = dispatch.dispatch_waiting
        test.patch(dispatch, "dispatch_waiting", self.observe)

    def observe(self, board):
        """Runs a pass and records the use of the share after it."""
        if not self._others_wait(board):
            self.since.pop(board.node, None)
        before_cpu = self._used_cpu(board)
        part_cpu = shares.capacity_cpu(board, "match", self.total_cpu)
        self.dispatch_waiting(board)
        if not self._others_wait(board):
            self.since.pop(board.node, None)
            return
        since_s, limit_cpu = self.since.get(board.node, (board.now_s, 0.0))
        limit_cpu = max(limit_cpu, self.limit * part_cpu)
        self.since[board.node] = since_s, limit_cpu
        used_cpu = self._used_cpu(board)
        self.others_left.append(
            LimitedUse(
                board.now_s - since_s,
                used_cpu,
                limit_cpu,
                used_cpu > before_cpu,
            )
        )

    def _others_wait(self, board):
        return any(task.job.share.name != self.name for task in board.waiting)

    def _used_cpu(self, board):
        use = board.shares.uses.get(("match", self.name))
        return use.running_cpu if use else 0


class TestRules(testtools.TestCase):
    def test_a_job_belongs_to_the_first_rule_that_matches(self):
        settings = LoadSettings(
            shares=(
                ShareRule("guest-long", host="guest", priority=2),
                ShareRule("long", priority=2),
                ShareRule("balances", route="balances"),
            )
        )
        guest_long = dataclasses.replace(LONG, host="guest")
        cases = {
            "guest-long": guest_long,
            "long": LONG,
            "balances": PLAIN,
            UNSHARED.name: URGENT,
        }
        for name, route in cases.items():
            self.assertEqual(name, shares.find(settings, route).name)

    def test_everything_belongs_to_no_share_when_there_are_no_rules(self):
        self.assertIs(UNSHARED, shares.find(OFF, URGENT))


class TestUrgentBurst(testtools.TestCase):
    # Load: an urgent burst of twice the capacity for 5 s beside a guaranteed
    # least urgent kind.
    def test_the_least_urgent_kind_gets_its_guarantee_in_a_burst(self):
        off, on = burst(OFF), burst(LONG_GUARANTEED)
        self.assertLess(during_burst(off), 0.2)
        self.assertGreater(during_burst(on), 0.95)
        self.assertGreaterEqual(on.done_s(), 0.98 * off.done_s())
        self.assertEqual([], on.world.violations())

    # Load: the same, with jobs of 8 and 32 tasks.
    def test_wide_jobs_are_served_half_as_often_as_their_kind_at_least(self):
        competition = Competition(LONG_GUARANTEED, agents=12)
        competition.offer(
            "long",
            LONG,
            0.25,
            9,
            run_s=0.3,
            tasks=(2, 2, 4, 2, 8, 2, 4, 2, 4, 32, 2, 4, 8),
        )
        competition.offer("burst", URGENT, 2.0, 7, after_s=2)
        competition.world.finish(13)
        kind = competition.in_time("long")
        self.assertGreater(kind, 0.8)
        self.assertGreater(competition.in_time("long", 8), kind / 2)
        self.assertGreater(competition.in_time("long", 32), kind / 2)

    # Load: the guaranteed kind asks for twice the capacity, the urgent kind
    # for little.
    def test_guaranteed_jobs_leave_the_reserve_to_the_urgent_kind(self):
        settings = LoadSettings(
            shares=(ShareRule("long", guaranteed=0.5, priority=2),)
        )
        competition = Competition(settings)
        competition.offer("long", LONG, 2.0, 6, run_s=0.5)
        competition.offer("urgent", URGENT, 0.05, 4, after_s=2)
        competition.world.finish(9)
        self.assertGreater(competition.in_time("urgent"), 0.9)


class TestTwoOrganisations(testtools.TestCase):
    # Load: two organisations of one priority; one sends ten times its share.
    def test_the_other_organisation_keeps_its_share(self):
        served = {}
        for name, settings in (("off", OFF), ("on", TWO_ORGANISATIONS)):
            competition = Competition(settings)
            competition.offer("guest", GUEST, 1.0, 6)
            competition.offer("home", URGENT, 0.45, 6)
            competition.world.finish(9)
            served[name] = competition.in_time("home")
            work_s = competition.done_s()
            self.assertGreater(work_s, 0.95 * 6 * 48)
        self.assertLess(served["off"], 0.6)
        self.assertGreater(served["on"], 0.8)

    # Load: an organisation with a limit asks for twice the capacity.
    def test_a_limit_holds_only_while_other_shares_wait(self):
        competition = Competition(GUEST_LIMITED)
        began_s = competition.world.now_s
        competition.offer("guest", GUEST, 2.0, 8)
        competition.offer("long", LONG, 1.5, 4, run_s=0.3, after_s=4)
        competition.world.finish(11)
        alone = competition.work_s(began_s + 1, began_s + 4)
        beside = competition.work_s(began_s + 5, began_s + 8)
        self.assertGreater(alone["guest"], 0.95 * 3 * 48)
        self.assertGreater(sum(beside.values()), 0.9 * 3 * 48)

    # Load: the same; its use in the time in which jobs of other shares wait.
    def test_a_share_gets_at_most_its_limit_while_others_wait(self):
        competition = Competition(GUEST_LIMITED)
        passes = LimitedPasses(self, competition, "guest", 0.3)
        competition.offer("guest", GUEST, 2.0, 8)
        competition.offer("long", LONG, 1.5, 4, run_s=0.3, after_s=4)
        competition.world.finish(11)
        self.assertGreater(len(passes.others_left), 100)
        for use in passes.others_left:
            if use.is_ordering:
                self.assertLess(use.used_cpu, use.limit_cpu + TASK_CPU)
        # Runs that were ordered before the others waited have ended by then.
        drained_s = 0.1 + dispatch.URGENT_QUEUE_WAIT_S
        drained = [
            use for use in passes.others_left if use.waited_s > drained_s
        ]
        self.assertGreater(len(drained), 100)
        for use in drained:
            self.assertLess(use.used_cpu, use.limit_cpu + TASK_CPU)

    # Load: the same; what a pass does while jobs of both wait.
    def test_a_share_above_its_limit_gets_nothing_while_others_wait(self):
        competition = Competition(GUEST_LIMITED, entries=1, agents=1)
        board = competition.world.entries["e0"].board
        for number in range(2):
            spec = region.job(f"g{number}", 4, 1000, 1.0)
            entryengine.submit(board, spec, GUEST, 9.0)
        spec = region.job("large", 1, 8000, 0.5)
        entryengine.submit(board, spec, LONG, 9.0)
        spec = region.job("g2", 4, 1000, 1.0)
        entryengine.submit(board, spec, GUEST, 9.0)
        (view,) = board.agents.values()
        view.free = dataclasses.replace(view.free, cpu=4000)
        view.in_flight.clear()
        dispatch.dispatch_waiting(board)
        waiting = {task.job.id for task in board.waiting}
        self.assertEqual({"large", "g2"}, waiting)


class TestReview(testtools.TestCase):
    # Load: a queue of one share from which some jobs are given up.
    def test_a_job_that_leaves_no_longer_counts(self):
        competition = Competition(LONG_GUARANTEED, entries=1, agents=1)
        board = competition.world.entries["e0"].board
        for number in range(5):
            spec = region.job(f"j{number}", 8, 1000, 0.5)
            jobs.open_job(board, jobs.new_job(board, spec, LONG, 9.0))
        leaving = set()
        ahead = {}
        for task, met in waitingload.iter_loads(board, leaving):
            ahead.setdefault(task.job.id, met.ahead_cpu_s)
            leaving.add("j3")
        self.assertLess(ahead["j2"], ahead["j3"])
        self.assertEqual(ahead["j3"], ahead["j4"])


class TestIdleShare(testtools.TestCase):
    # Load: a share is idle for 10 s while others use everything, then needs
    # its guarantee at once.
    def test_lent_capacity_returns_within_a_run_of_the_borrowers(self):
        borrowed_s = 0.5
        competition = Competition(LONG_GUARANTEED)
        began_s = competition.world.now_s
        competition.offer("urgent", URGENT, 1.5, 13, run_s=borrowed_s)
        competition.offer("long", LONG, 4.0, 0.2, run_s=0.5, after_s=10)
        competition.world.finish(17)
        begin_s = began_s + 10 + borrowed_s
        used = competition.work_s(begin_s, begin_s + 0.1)["long"]
        self.assertGreater(used, 0.9 * 0.3 * 48 * 0.1)


class TestUnevenCallers(testtools.TestCase):
    # Load: the urgent burst, with three quarters of the callers at one entry.
    def test_a_share_holds_with_callers_spread_three_to_one(self):
        uneven = ["e0", "e0", "e0", "e1"]
        competition = Competition(LONG_GUARANTEED, entries=2)
        began_s = competition.world.now_s
        competition.offer("long", LONG, 0.25, 7, 0.5, entries=uneven)
        competition.offer("burst", URGENT, 2.0, 5, after_s=2, entries=uneven)
        competition.world.finish(10)
        served = competition.in_time("long", None, began_s + 2)
        self.assertGreater(served, 0.75)

    # Load: the urgent burst arrives at another entry than the guaranteed jobs.
    def test_a_share_gets_its_part_beside_urgent_work_of_another_entry(self):
        competition = Competition(LONG_GUARANTEED, entries=2)
        began_s = competition.world.now_s
        competition.offer("long", LONG, 0.6, 7, 0.5, entries=["e0"])
        competition.offer("burst", URGENT, 2.0, 7, entries=["e1"])
        competition.world.finish(10)
        used_s = competition.work_s(began_s + 2, began_s + 6)["long"]
        self.assertGreater(used_s / (4 * 48), 0.9 * 0.3 / 2)


class TestFailures(testtools.TestCase):
    def test_counters_return_to_zero_after_an_agent_dies_with_runs(self):
        competition = Competition(LONG_GUARANTEED)
        world = competition.world
        competition.offer("long", LONG, 0.6, 3, run_s=1.0)
        world.run(1.0)
        before = sum(use.running_cpu for use in uses(world))
        world.kill(world.agents["a0"], 30.0)
        world.run(1.9)
        held = sum(
            task.spec.room.cpu
            for process in world.entries.values()
            for view in process.board.agents.values()
            for task in view.tasks.values()
        )
        self.assertGreater(before, 0)
        self.assertEqual(held, sum(use.running_cpu for use in uses(world)))
        world.finish(12)
        self.assertEqual({0}, {use.running_cpu for use in uses(world)})
        self.assertEqual({0}, {use.running_tasks for use in uses(world)})
        self.assertEqual([], world.violations())

    def test_counters_follow_runs_that_are_stopped(self):
        competition = Competition(LONG_GUARANTEED, entries=1)
        board = competition.world.entries["e0"].board
        spec = region.job("j", count=3, cpu=1000, estimated_s=1.0)
        entryengine.submit(board, spec, LONG, 9.0)
        use = board.shares.uses["match", "long"]
        self.assertEqual(3000, use.running_cpu)
        entryengine.cancel(board, "j", "test")
        self.assertEqual(0, use.running_cpu)

    # Load: a caller of an overdrawn share uses the id of an earlier job again.
    def test_a_job_inherits_no_standing_from_one_with_its_id(self):
        competition = Competition(LONG_GUARANTEED, entries=1)
        board = competition.world.entries["e0"].board
        spec = region.job("j", count=3, cpu=1000, estimated_s=1.0)
        entryengine.submit(board, spec, LONG, 9.0)
        use = board.shares.uses["match", "long"]
        self.assertEqual("j", use.wide_job)
        entryengine.cancel(board, "j", "test")
        self.assertEqual("", use.wide_job)

    def test_a_run_that_is_moved_counts_once(self):
        competition = Competition(LONG_GUARANTEED, entries=1)
        board = competition.world.entries["e0"].board
        spec = region.job("j", count=1, cpu=1000, estimated_s=1.0)
        entryengine.submit(board, spec, LONG, 9.0)
        task = board.jobs["j"].tasks[0][0]
        use = board.shares.uses["match", "long"]
        report = RunReport("j", task.attempt, RunEnd.STOPPED, 100, 0)
        view = board.agents[task.agent]
        entryengine._on_report(board, view, report)
        self.assertEqual(0, use.running_cpu)
        dispatch.dispatch_waiting(board)
        self.assertEqual(1000, use.running_cpu)

    # The counters of an entry are gone when it restarts: it counts only its
    # new runs, so that shares may run more until the runs that it lost end.
    def test_a_restarted_entry_serves_a_share_its_guarantee(self):
        competition = Competition(LONG_GUARANTEED)
        world = competition.world
        began_s = world.now_s
        competition.offer("long", LONG, 0.25, 7, 0.5)
        competition.offer("burst", URGENT, 2.0, 6, after_s=1)
        world.run(3.0)
        world.kill(world.entries["e0"], 0.3)
        world.finish(9)
        served = competition.in_time("long", None, began_s + 4.5)
        self.assertGreater(served, 0.9)
        self.assertEqual([], world.violations())

    def test_random_histories_hold_with_shares(self):
        settings = LoadSettings(
            shares=(
                ShareRule("long", 0.4, priority=2),
                ShareRule("lookups", 0.1, 0.6, route="lookups"),
            )
        )
        for seed in range(6):
            world = test_region.play(
                seed, kept=seed % 3 == 2, load_settings=settings
            )
            self.assertEqual([], world.violations(), f"seed {seed}")
            self.assertEqual(
                [],
                [use for use in uses(world) if use.running_tasks],
                f"seed {seed}",
            )


class TestReports(testtools.TestCase):
    def events(self, settings):
        lines = []
        self.patch(
            logs, "info", lambda event, **fields: lines.append((event, fields))
        )
        burst(settings)
        return lines

    # Load: urgent runs of a second hold the only server when a share needs it.
    def test_a_short_share_is_logged_when_it_begins_and_ends(self):
        lines = []
        self.patch(
            logs, "info", lambda event, **fields: lines.append((event, fields))
        )
        competition = Competition(LONG_GUARANTEED, entries=1, agents=1)
        competition.offer("urgent", URGENT, 20.0, 0.1, run_s=1.0)
        competition.world.run(0.2)
        competition.offer("long", LONG, 5.0, 0.1, run_s=0.5)
        competition.world.run(0.1)
        short = [line for line in lines if line[0].startswith("share_")]
        self.assertEqual([], short)
        competition.world.finish(6)
        short = [line for line in lines if line[0].startswith("share_")]
        self.assertEqual(
            ["share_short", "share_served"], [event for event, _ in short]
        )
        begun = short[0][1]
        self.assertEqual("long", begun["share"])
        self.assertLess(begun["used_cpu"], begun["guaranteed_cpu"])
        self.assertGreater(begun["waiting_tasks"], 0)

    def test_a_refusal_names_its_share_and_the_one_that_it_lost_to(self):
        refusals = [
            fields
            for event, fields in self.events(LONG_GUARANTEED)
            if event == "job_refused"
        ]
        others = [f for f in refusals if f["share"] == UNSHARED.name]
        self.assertTrue(any(f.get("lost_to") == "long" for f in others))

    def test_refusals_name_no_share_without_rules(self):
        refusals = [
            fields
            for event, fields in self.events(OFF)
            if event == "job_refused"
        ]
        self.assertGreater(len(refusals), 100)
        self.assertFalse(any("share" in fields for fields in refusals))

    def test_the_cores_in_use_are_a_gauge_by_share(self):
        competition = Competition(LONG_GUARANTEED, entries=1)
        board = competition.world.entries["e0"].board
        spec = region.job("j", count=3, cpu=1000, estimated_s=1.0)
        entryengine.submit(board, spec, LONG, 9.0)
        process_metrics = metrics.Metrics()
        entrygauges.set_shares(board, process_metrics)
        body, _ = process_metrics.render()
        self.assertIn(b'share_cores{service="match",share="long"} 3', body)

    def test_refused_jobs_are_counted_by_share(self):
        competition = burst(LONG_GUARANTEED)
        counted = sum(
            process.board.counters["refused_share_others"]
            for process in competition.world.entries.values()
        )
        refused = sum(
            outcome is Outcome.REFUSED
            for _, outcome, _ in competition.world.answers
        )
        self.assertGreater(counted, 0.5 * refused)


class TestExpectedRate(testtools.TestCase):
    """What a share expects of the capacity that its entry expects."""

    def rate(self, **changes):
        terms = shares.Terms(0.0, False, 0.0, 0.0, float("inf"))
        load = admission.Load(50_000, 1.0, 10_000.0, 1.0, 0.0)
        terms = dataclasses.replace(terms, **changes)
        return shares.adjust(load, terms, 0.0, 0.0).dispatch_rate

    # Urgent jobs counted on capacity that another share was guaranteed.
    def test_it_leaves_out_what_other_shares_are_guaranteed(self):
        self.assertEqual(10_000.0, self.rate())
        self.assertEqual(7000.0, self.rate(protected_rate=3000.0))
        self.assertEqual(12_000.0, self.rate(released_rate=2000.0))

    def test_it_keeps_within_the_guarantee_and_the_limit(self):
        self.assertEqual(15_000.0, self.rate(guaranteed_rate=15_000.0))
        self.assertEqual(4000.0, self.rate(limit_rate=4000.0))
        self.assertEqual(0.0, self.rate(protected_rate=12_000.0))
