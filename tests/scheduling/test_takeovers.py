"""Tests of kept jobs whose coordinator is lost around the end of a run.

The task of a kept job runs near its data, at the server of agent a0. Around the
end of that run its partition moves to an entry that doesn't receive the end,
and later to one that does. A job of another entry keeps the lease of that
server renewed, so that its ends are never void for want of a lease.
"""

import dataclasses
import itertools

import testtools

from egretthread.scheduling import keptjobs, linkchoice
from egretthread.scheduling.jobspec import JobSpec, StepSpec
from egretthread.scheduling.room import Room
from tests.scheduling import fakelog, region

WORK_S = 4.0
FILLER_S = 90.0
# How long before or after the end of the run the coordinator is disturbed. A
# poll, a message and a write take 2, 1 and 4 ms.
STEPS_S = {
    "before the end": -0.15,
    "before the message": 0.0010,
    "before the write": 0.0035,
    "before the answer": 0.0065,
    "after the answer": 0.0080,
}
# How the coordinator is disturbed.
LOSSES = ("kill", "pause", "cut off", "cut off one way", "leave", "reassign")
# Time from the loss of a coordinator until its successor has started the task.
TAKEOVER_S = 8.0
ROUTE = dataclasses.replace(region.ROUTE, max_attempts=2)


def kept_job():
    """Returns a kept job of one task, whose data is near agent a0."""
    step = StepSpec(1, Room(1000, 64, 0), WORK_S, data_rack="r1")
    return JobSpec("k", "payload", (step,), kept=True)


def filler():
    """Returns a job of one long task at the server of agent a0."""
    step = StepSpec(1, Room(1000, 64, 0), FILLER_S, required_label="r1")
    return JobSpec("f", "payload", (step,))


class Takeover:
    """A region with a kept job that moves between entries.

    Attributes:
        world: The region.
        part: Partition of the kept job.
        linked: Names of the entries that agent a0 has selected.
        has_failed: Whether the first run of the job ends `failed`.
    """

    def __init__(self, has_failed=False, entries=3):
        self.has_failed = has_failed
        self.world = region.Region(
            entries=entries,
            agents=2,
            is_partly_linked=entries > linkchoice.LINKS_PER_AGENT,
            work_s=lambda name: FILLER_S if name.job == "f" else WORK_S,
        )
        for number, server in enumerate(self.world.servers.values()):
            server.rack = f"r{number + 1}"
        self.part = self.world.log.partition_of("k")
        self.linked = linkchoice.choose("a0", self.world.entry_names, ())
        self.world.log.preferred[self.part] = self.linked[0]
        self.world.run(6.0)
        self.world.submit(filler(), self.linked[2], FILLER_S * 2)
        self.world.run(0.1)

    def entry(self, name):
        """Returns the present process of an entry."""
        return self.world.entries[name]

    def isolate(self, entry, agent, seconds=200.0):
        """Cuts the link between an entry and an agent."""
        self.world.cut(entry, agent, seconds)
        self.world.reset_pair(entry, agent)

    def start(self, after_end_s):
        """Starts the job and runs until a time near the end of its first run.

        Args:
            after_end_s: That time, after the end; negative before it.
        """
        self.world.submit_kept(kept_job(), ROUTE)
        self.world.run(0.1)
        (run,) = [
            run
            for run in self.world.servers["a0"].runs.values()
            if run.name.job == "k"
        ]
        left_s = run.started_s + WORK_S - self.world.now_s
        self.world.run(left_s - 0.2)
        self.world.servers["a0"].failing = self.has_failed
        self.world.run(0.2 + min(after_end_s, 0.0))
        if after_end_s > 0:
            self._run_to_end()
            self.world.run(after_end_s)
        # The failing server recovers once the run has ended.
        if self.has_failed:
            self.world.at(0.4, self._recover)

    def _run_to_end(self):
        """Runs until the server has ended the run."""
        server = self.world.servers["a0"]
        while not any(name.job == "k" for name, *_ in server.history):
            self.world.run(0.0005)

    def _recover(self):
        self.world.servers["a0"].failing = False

    def move(self, name, how="reassign"):
        """Moves the partition to an entry; its coordinator is disturbed."""
        world = self.world
        member = world.log.owners[self.part]
        owner = fakelog.entry_of(member)
        world.log.preferred[self.part] = name
        if how == "kill":
            world.kill(self.entry(owner), 5.0)
        elif how == "pause":
            world.freeze(self.entry(owner), 5.0)
        elif how == "cut off one way":
            # Calls over connections that were open before still arrive.
            world.log.deaf_s[owner] = world.now_s + 0.5
            world.at(0.5, self._cut_off, owner)
        elif how == "cut off":
            world.log.cut_s[owner] = world.now_s + 5.0
        elif how == "leave":
            board = self.entry(owner).board
            keptjobs.release(board, self.part, "shutdown")
            world.log.leave(member)
        else:
            world.log.reassign()

    def _cut_off(self, owner):
        self.world.log.cut_s[owner] = self.world.now_s + 5.0

    def restart_agent(self, name):
        """Kills an agent, which comes back at once."""
        self.world.kill(self.world.agents[name], 0.3)

    def runs(self):
        """Returns the runs of the task as start, end and how it ended."""
        return [
            sorted(runs)
            for name, runs in self.world.runs().items()
            if name.job == "k"
        ][0]

    def has_lapsed(self):
        """Whether the lease of the server of agent a0 has lapsed."""
        return any(
            name.job == "f" and end == "lapsed"
            for name, _, _, _, end in self.world.servers["a0"].history
        )

    def finish(self):
        """Runs until the job has ended; returns the violations."""
        self.world.finish(30.0)
        return self.world.violations()


class TestUndeliveredEnds(testtools.TestCase):
    """The first successor has no link with the agent that holds the end."""

    def play(self, step, how, has_failed, then):
        takeover = Takeover(has_failed)
        takeover.isolate("e1", "a0")
        takeover.start(STEPS_S[step])
        takeover.move("e1", how)
        takeover.world.run(TAKEOVER_S)
        if then == "agent":
            takeover.restart_agent("a0")
            takeover.world.run(1.0)
        takeover.move("e2" if then == "third" else "e0")
        return takeover, takeover.finish()

    # Guards against TWICE: a coordinator took the end of a run for that of the
    # last one, though a former coordinator had started the task again.
    def test_an_end_is_void_after_a_former_coordinator_started_the_task(self):
        broken = {}
        for case in itertools.product(
            STEPS_S,
            LOSSES,
            (False, True),
            ("first", "third", "agent"),
        ):
            takeover, found = self.play(*case)
            if takeover.world.log.states()["k"] != "completed":
                found.append(takeover.world.log.states()["k"])
            if found:
                broken[case] = found
        self.assertEqual({}, broken)


class TestManyEntries(testtools.TestCase):
    """Agents link with some of the entries."""

    # Guards against a second run of a task that is done, since the successor
    # has no link with the agent that holds the end.
    def test_an_agent_links_with_the_coordinator_of_an_end(self):
        broken = {}
        for case in itertools.product(
            STEPS_S, ("kill", "pause", "cut off"), (False, True)
        ):
            step, how, has_failed = case
            takeover = Takeover(has_failed, entries=9)
            names = takeover.world.entry_names
            others = linkchoice.choose("a1", names, ())
            successor = min(set(others) - set(takeover.linked))
            takeover.start(STEPS_S[step])
            takeover.move(successor, how)
            found = takeover.finish()
            # The run that follows a failed one may be stopped.
            ends = [end for _, _, end in takeover.runs() if end != "stopped"]
            expected = ["failed", "done"] if has_failed else ["done"]
            if found or ends != expected:
                broken[case] = (ends, found)
        self.assertEqual({}, broken)


class TestLostRuns(testtools.TestCase):
    """The first coordinator gives the run up before it receives its end."""

    def play(self, how, after_s, has_failed, lost, then):
        takeover = Takeover(has_failed)
        world = takeover.world
        takeover.start(-0.3)
        if lost == "link":
            takeover.isolate("e0", "a0")
        elif lost == "agent":
            world.kill(world.agents["a0"], 0.3)
            takeover.isolate("e0", "a0")
        else:
            world.freeze(world.agents["a0"], 1.9)
        for _ in range(1600):
            world.run(0.005)
            if world.servers["a1"].runs:
                break
        world.run(after_s)
        takeover.move("e1", how)
        if then == "twice":
            world.run(0.8)
            takeover.move("e2")
        return takeover, takeover.finish()

    # Guards against TWICE: a successor took the end of a run that the former
    # coordinator had given up, after which it had started the task again.
    def test_an_end_is_void_after_its_run_was_given_up(self):
        broken = {}
        for case in itertools.product(
            LOSSES,
            (0.0, 0.5),
            (False, True),
            ("link", "agent", "frozen agent"),
            ("once", "twice"),
        ):
            takeover, found = self.play(*case)
            state = takeover.world.log.states()["k"]
            if found or state != "completed":
                broken[case] = (state, found)
        self.assertEqual({}, broken)


class TestCountedEnds(testtools.TestCase):
    """The successors receive the end, which may have been written before."""

    def play(self, step, how, has_failed, then):
        takeover = Takeover(has_failed)
        takeover.start(STEPS_S[step])
        takeover.move("e1", how)
        if then == "restart of the agent":
            takeover.restart_agent("a0")
        if then == "second takeover":
            takeover.world.run(3.2)
            takeover.move("e2", how)
        return takeover, takeover.finish()

    # Guards against LOST: a failed run counted twice, as the successor was
    # offered the end that its predecessor had written. Guards against a run of
    # a task that is done, and against more attempts than allowed.
    def test_each_end_counts_once(self):
        broken = {}
        for case in itertools.product(
            STEPS_S,
            LOSSES,
            (False, True),
            ("one takeover", "second takeover", "restart of the agent"),
        ):
            takeover, found = self.play(*case)
            state = takeover.world.log.states()["k"]
            ends = [how for _, _, how in takeover.runs()]
            # Some disturbances end the run before its time.
            expected = {
                "done": ["done"],
                "failed": ["failed", "done"],
                "stopped": ["done"],
                "lapsed": ["done"],
            }[ends[0]]
            counted = [how for how in ends if how in ("done", "failed")]
            if found or state != "completed" or counted != expected:
                broken[case] = (state, ends, found)
            elif takeover.has_lapsed() and case[3] != "restart of the agent":
                broken[case] = "the lease has lapsed"
        self.assertEqual({}, broken)


class TestUnstoredRuns(testtools.TestCase):
    """The coordinator loses the store, then the run, and then the job."""

    # Guards against TWICE: a task was started again before the store had the
    # number of its last run, so that the successor took the end of that.
    def test_a_task_is_not_started_again_without_the_store(self):
        takeover = Takeover()
        world = takeover.world
        takeover.start(-1.9)
        takeover.isolate("e0", "a0")
        # It notices the loss of the run before that of its partition.
        world.run(1.2)
        world.log.cut_s["e0"] = world.now_s + 30.0
        world.log.preferred[takeover.part] = "e1"
        found = takeover.finish()
        self.assertEqual([], found)
        ends = [end for _, _, end in takeover.runs()]
        self.assertEqual(1, len(ends), ends)
        self.assertEqual({"k": "completed"}, world.log.states())
