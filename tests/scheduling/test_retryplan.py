"""Tests of the returns of refused callers under named loads."""

import collections
import math

import testtools

from egretthread.scheduling import (
    admission,
    entryengine,
    jobs,
    retryplan,
    waitorder,
)
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.loadsettings import UNSHARED, LoadSettings
from tests.scheduling import region, test_region
from tests.scheduling.shareloads import PLAIN, URGENT, Competition

OFF = LoadSettings()
ON = LoadSettings(spread_retries=True)
# A load under which refused work of 1 core-second takes a second.
OVERLOAD = admission.Load(32_000, 9_000, 16_000, 9_000, 1000)
KEY = ("match", UNSHARED.name, URGENT.priority)


class ObedientCrowd:
    """Callers who return after the delay that they are told, at most once.

    Attributes:
        competition: The region and its other callers.
        outcomes: Outcomes of each caller, in order.
        delays_s: Delays that were sent with the first refusals.
    """

    def __init__(self, settings, callers, base, early_s=0.0):
        self.competition = Competition(settings)
        self.early_s = early_s
        self.outcomes = collections.defaultdict(list)
        self.delays_s = []
        world = self.competition.world
        forward_jobs = world.on_answer

        def on_answer(process, answer):
            if answer.job in world.callers and answer.job.startswith("crowd"):
                self._on_answer(process, answer)
            forward_jobs(process, answer)

        world.on_answer = on_answer
        self.competition.offer("base", URGENT, base, 14)
        share = callers / self.competition.rate(1, 4, 0.1)
        self.competition.offer("crowd", URGENT, share, 1.0, after_s=1)
        world.finish(16)

    def _on_answer(self, process, answer):
        seen = self.outcomes[answer.job]
        seen.append(answer.outcome)
        if answer.outcome is Outcome.REFUSED and len(seen) == 1:
            # Callers are sent whole seconds.
            delay_s = math.ceil(answer.retry_after_s)
            self.delays_s.append(delay_s)
            spec = region.job(answer.job, 4, 1000, 0.1)
            self.competition.world.at(
                delay_s - self.early_s,
                self.competition.world.submit,
                spec,
                process.name,
                1.8,
                URGENT,
            )

    def served_at_first_return(self):
        """Returns the share of the refused callers served when they return."""
        refused = [seen for seen in self.outcomes.values() if len(seen) > 1]
        served = [seen for seen in refused if seen[1] is Outcome.COMPLETED]
        return len(served) / len(refused)


def board_at(now_s=100.0):
    board = entryengine.new_board("e0", "x", now_s)
    board.load = ON
    return board


def book(board, job, cpu_s=500, load=OVERLOAD):
    return retryplan.book(board, job, URGENT, UNSHARED, cpu_s, load)


class TestCrowd(testtools.TestCase):
    # Load: 250 callers in one second beside a load of half the capacity; all
    # that are refused obey.
    def test_refused_callers_are_served_at_their_first_return(self):
        off = ObedientCrowd(OFF, 250, 0.5)
        on = ObedientCrowd(ON, 250, 0.5)
        self.assertLess(off.served_at_first_return(), 0.9)
        self.assertGreater(on.served_at_first_return(), 0.97)
        self.assertEqual([], on.competition.world.violations())

    # Load: 800 callers in one second, which is more than fits into ten.
    def test_beyond_the_maximum_returns_are_spread_evenly(self):
        off = ObedientCrowd(OFF, 800, 0.5)
        on = ObedientCrowd(ON, 800, 0.5)
        self.assertLess(off.served_at_first_return(), 0.4)
        self.assertGreater(on.served_at_first_return(), 0.8)
        counts = collections.Counter(on.delays_s)
        self.assertEqual(set(range(1, 11)), set(counts))
        self.assertLess(max(counts.values()), 3 * min(counts.values()))


class TestSchedule(testtools.TestCase):
    # Load: more callers than the capacity serves, refused one by one.
    def test_those_refused_first_return_first(self):
        board = board_at()
        delays_s = [book(board, f"j{number}") for number in range(18)]
        for earlier, later in zip(delays_s, delays_s[2:], strict=False):
            self.assertLessEqual(earlier, later)
        self.assertEqual(1, delays_s[0])
        self.assertGreaterEqual(delays_s[-1], 9)

    def test_delays_are_whole_seconds_within_the_bounds(self):
        board = board_at()
        delays_s = [book(board, f"j{number}") for number in range(200)]
        self.assertEqual(set(range(1, 11)), set(delays_s))

    def test_a_delay_of_less_than_a_second_is_not_rounded_away(self):
        board = board_at()
        board.retries.booked_until_s[KEY] = board.now_s + 2.3
        delays_s = []
        for number in range(1000):
            board.retries.booked_until_s[KEY] = board.now_s + 2.3
            delays_s.append(book(board, f"j{number}"))
        self.assertAlmostEqual(2.3, sum(delays_s) / 1000, delta=0.05)

    def test_booked_work_decays_as_time_passes(self):
        board = board_at()
        for number in range(10):
            book(board, f"j{number}")
        board.now_s += 20
        self.assertEqual(1, book(board, "later"))

    def test_refusals_beyond_the_maximum_book_nothing(self):
        board = board_at()
        for number in range(1000):
            book(board, f"j{number}")
        booked_s = board.retries.booked_until_s[KEY] - board.now_s
        self.assertLess(booked_s, admission.MAX_RETRY_S + 0.5)

    # Load: none; callers ask for less time than their jobs take.
    def test_jobs_that_can_never_be_in_time_book_nothing(self):
        world = Competition(ON, entries=1, agents=1).world
        board = world.entries["e0"].board
        for number in range(50):
            spec = region.job(f"j{number}", 4, 1000, 2.0)
            answer = jobs.submit(board, spec, URGENT, 1.0)
            self.assertEqual(Outcome.REFUSED, answer.outcome)
            self.assertEqual(admission.MIN_RETRY_S, answer.retry_after_s)
        self.assertEqual({}, board.retries.booked_until_s)

    # Load: callers of an entry that ends; others can serve them.
    def test_an_entry_that_shuts_down_books_nothing(self):
        world = Competition(ON, entries=1, agents=1).world
        board = world.entries["e0"].board
        for number in range(3):
            spec = region.job(f"j{number}", 8, 1000, 0.3)
            self.assertIsNone(jobs.submit(board, spec, URGENT, 9.0))
        board.is_shutting_down = True
        board.shutdown_end_s = board.now_s + 0.1
        spec = region.job("late", 8, 1000, 0.3)
        answer = jobs.submit(board, spec, URGENT, 9.0)
        self.assertEqual(Outcome.REFUSED, answer.outcome)
        self.assertEqual({}, board.retries.booked_until_s)

    # Load: none; the wall clock is set back while callers are out.
    def test_a_clock_that_jumps_changes_nothing(self):
        board = board_at()
        due_s = board.now_s + book(board, "j")
        entryengine.set_time(board, due_s, -1e9)
        self.assertTrue(retryplan.claim(board, "j"))


class TestReturn(testtools.TestCase):
    def test_a_caller_goes_first_once_if_it_returns_at_its_time(self):
        board = board_at()
        board.now_s += book(board, "j")
        self.assertTrue(retryplan.claim(board, "j"))
        self.assertFalse(retryplan.claim(board, "j"))

    def test_a_caller_that_returns_early_has_no_advantage(self):
        board = board_at()
        delay_s = book(board, "j")
        board.now_s += delay_s - 0.2
        self.assertFalse(retryplan.claim(board, "j"))
        board.now_s += 0.2
        self.assertFalse(retryplan.claim(board, "j"))

    # Load: 800 callers in one second; those refused return half a second early.
    def test_a_crowd_that_returns_early_is_served_no_better(self):
        obedient = ObedientCrowd(ON, 800, 0.5)
        early = ObedientCrowd(ON, 800, 0.5, early_s=0.5)
        self.assertLessEqual(
            early.served_at_first_return(),
            obedient.served_at_first_return() + 0.02,
        )

    def test_a_caller_that_returns_late_has_no_advantage(self):
        board = board_at()
        board.now_s += book(board, "j") + 5.0
        self.assertFalse(retryplan.claim(board, "j"))

    def test_a_returned_job_goes_before_newcomers_of_its_priority(self):
        world = Competition(ON, entries=1, agents=1).world
        board = world.entries["e0"].board
        (view,) = board.agents.values()
        view.free = view.free - view.free
        for name in ("newcomer", "returned"):
            spec = region.job(name, 1, 1000, 0.1)
            if name == "returned":
                board.retries.due_s[name] = board.now_s
            self.assertIsNone(jobs.submit(board, spec, PLAIN, 9.0))
        board.waiting.sort(key=lambda t: waitorder.sort_key(t, board.now_s))
        self.assertEqual(
            ["returned", "newcomer"], [task.job.id for task in board.waiting]
        )

    def test_the_memory_of_refused_jobs_is_bounded(self):
        board = board_at()
        for number in range(retryplan.MAX_REMEMBERED + 50):
            book(board, f"j{number}")
        self.assertEqual(retryplan.MAX_REMEMBERED, len(board.retries.due_s))
        self.assertNotIn("j0", board.retries.due_s)

    # An entry that restarts remembers no caller; they are newcomers there.
    def test_callers_of_a_restarted_entry_are_newcomers(self):
        world = Competition(ON, entries=1, agents=1).world
        board = world.entries["e0"].board
        book(board, "j")
        world.kill(world.entries["e0"], 0.1)
        world.run(2.5)
        board = world.entries["e0"].board
        self.assertEqual({}, board.retries.due_s)
        spec = region.job("j", 1, 1000, 0.1)
        self.assertIsNone(jobs.submit(board, spec, URGENT, 9.0))
        self.assertEqual(0.0, board.jobs["j"].lead_s)

    def test_random_histories_hold_with_spread_retries(self):
        for seed in range(20, 26):
            world = test_region.play(seed, load_settings=ON)
            self.assertEqual([], world.violations(), f"seed {seed}")
