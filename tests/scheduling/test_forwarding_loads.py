"""Tests of forwarding under named loads: what callers get, off and on."""

import dataclasses
import random

import testtools

from egretthread.scheduling import entryengine, forwarding
from egretthread.scheduling.entryboard import Outcome
from egretthread.scheduling.loadsettings import LoadSettings
from egretthread.scheduling.runmessage import ForwardJob
from tests.scheduling import loads, region

FORWARD = LoadSettings(forward_jobs=True)
OFF = LoadSettings()


@dataclasses.dataclass
class Counts:
    """What the callers of some regions got, and the jobs forwarded."""

    jobs: int = 0
    refused: int = 0
    late: int = 0
    received: int = 0


class TestLoads(testtools.TestCase):
    """Jobs of two short tasks at nine entries, each linked with some agents."""

    def play(self, settings, share, prepare, seeds=range(1, 9), seconds=1.5):
        """Offers a share of the capacity; returns what the callers got.

        Args:
            settings: Which decisions under load the entries make.
            share: Work offered, as a share of the capacity.
            prepare: Brings a region into the state of the load; returns the
                names of the entries that get the jobs, and the share of its
                capacity that is left.
            seeds: Seeds of the regions.
            seconds: How long jobs are offered.
        """
        counts = Counts()
        for seed in seeds:
            world = region.Region(
                entries=9,
                agents=12,
                seed=seed,
                is_partly_linked=True,
                load_settings=settings,
            )
            world.run(2.5)
            names, left_share = prepare(world)
            cpu = sum(server.capacity.cpu for server in world.servers.values())
            rate = share * left_share * cpu / (2 * 1000 * 0.1)
            submitted = self.offer(world, rate, seconds, names, seed)
            world.run(seconds + 2.0)
            self.assertEqual([], world.violations())
            self.count(world, submitted, counts)
            self.check_forwarded_once(world)
        return counts

    def offer(self, world, rate, seconds, names, seed):
        rng = random.Random(seed)
        submitted = {}

        def submit(name):
            submitted[name] = world.now_s
            world.submit(region.job(name, 2), rng.choice(names), 1.5)

        after_s = rng.expovariate(rate)
        while after_s < seconds:
            world.at(after_s, submit, f"j{after_s}")
            after_s += rng.expovariate(rate)
        return submitted

    def count(self, world, submitted, counts):
        counts.jobs += len(submitted)
        for job, outcome, answered_s in world.answers:
            objective_s = 1.6 * 0.1 + 0.06
            is_late = answered_s - submitted[job] > objective_s
            counts.refused += outcome is Outcome.REFUSED
            counts.late += outcome is Outcome.COMPLETED and is_late
        counts.received += loads.counter_sum(
            world.entries, "forwarded_jobs_accepted"
        )

    def check_forwarded_once(self, world):
        """Only the entry that got a job from its caller passes it on."""
        senders = {}
        for _, sender, _, message in world.sent_between:
            if isinstance(message, ForwardJob):
                senders.setdefault(message.spec.job, []).append(sender)
        for tries in senders.values():
            self.assertEqual(1, len(set(tries)))
            self.assertLessEqual(len(tries), forwarding.MAX_TRIES)

    def check_better(self, share, prepare):
        off = self.play(OFF, share, prepare)
        on = self.play(FORWARD, share, prepare)
        self.assertEqual(off.jobs, on.jobs)
        self.assertEqual(0, off.received)
        self.assertGreater(on.received, 0)
        self.assertLess(on.refused + on.late, off.refused + off.late)

    def test_callers_of_three_entries_are_three_times_as_many(self):
        def prepare(world):
            names = list(world.entries)
            return names[:3] * 3 + names[3:], 1.0

        self.check_better(0.9, prepare)

    def test_a_third_of_the_backend_servers_is_withdrawn_with_a_zone(self):
        def prepare(world):
            state = dataclasses.replace(
                world.operators, offset=2, withdrawn=frozenset("x")
            )
            for process in world.entries.values():
                world.run_event(
                    process, entryengine.on_operators, process.board, state
                )
            return list(world.entries), 2 / 3

        self.check_better(0.9, prepare)

    def test_half_of_the_entries_are_gone(self):
        def prepare(world):
            names = list(world.entries)
            for name in names[:4]:
                world.kill(world.entries[name], 60.0)
            return names[4:], 1.0

        self.check_better(0.9, prepare)

    def test_one_entry_of_those_asked_is_frozen(self):
        def prepare(world):
            world.freeze(world.entries["e8"], 4.0)
            return [name for name in world.entries if name != "e8"], 1.0

        self.check_better(0.95, prepare)

    def test_all_entries_are_short(self):
        """Almost nothing is forwarded, and as many jobs are served."""

        def prepare(world):
            return list(world.entries), 1.0

        off = self.play(OFF, 1.6, prepare, seeds=(1,))
        on = self.play(FORWARD, 1.6, prepare, seeds=(1,))
        self.assertLess(on.received, 0.01 * on.jobs)
        self.assertLess(abs(on.refused - off.refused), 0.02 * on.jobs)
        self.assertLess(abs(on.late - off.late), 0.02 * on.jobs)
