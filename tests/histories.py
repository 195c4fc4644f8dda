"""Steps of random histories in the simulated region.

A step is a function of the history and of `pick`, which returns a random
number below its argument. The numbers come from a seeded generator or from
Hypothesis.
"""

import collections
import dataclasses
import random
from collections.abc import Callable

from egretthread import config, message, witness
from tests import oracle, world

Pick = Callable[[int], int]

WAITS_S = (0.0, 0.002, 0.01, 0.05, 0.2, 0.5, 1.0, 3.0)
LONG_WAITS_S = (5.0, 11.0, 25.0, 70.0)
DEADLINES_S = (20.0, 20.0, 5.0, 1.0)
SIZES = (1, 3, 8, 30)
START_S = 4.0 + witness.SETTLE_S
# Every caller has its result within this time after all faults have ended.
SETTLE_S = 45.0


# Counters of the engines that show which code paths a history reached.
COVERAGE_COUNTERS = (
    "takeovers",
    "jobs_superseded",
    "tasks_lost",
    "jobs_complete",
    "jobs_failed",
    "hand_outs_resent",
    "agents_joined",
    "refused_no_lease",
    "refused_withdrawn",
    "refused_draining",
    "refused_sealed",
    "refused_busy",
    "refused_outside_retention",
    "credits",
)


class History:
    """A simulated region and the steps that were applied to it.

    Attributes:
        world: The simulated region.
        jobs: Submissions so far, oldest first.
        steps: Names of the steps so far.
    """

    def __init__(self, seed: int):
        self.world = world.World(seed)
        self.jobs: list = []
        self.steps: list[str] = []
        self.world.run(START_S)

    def apply(self, name: str, pick: Pick) -> None:
        """Runs one step and then the simulation for a random time."""
        self.steps.append(name)
        STEPS[name](self, pick)
        self.world.run(WAITS_S[pick(len(WAITS_S))])

    def counts(self) -> collections.Counter:
        """Returns counters that show which code paths the history reached."""
        counts = collections.Counter(self.world.oracle.counts)
        for board in self.world.boards:
            for key in COVERAGE_COUNTERS:
                counts[key] += board.counters[key]
        return counts

    def settle(self) -> None:
        """Ends all faults and checks that every caller gets its result."""
        region = self.world
        for process in region.processes.values():
            process.shutting_down = process.shutting_down and process.alive
        region.heal_all()
        for job in self.jobs[-5:]:
            region.submit(region.entry_names[0], job)
        region.run(SETTLE_S)
        region.oracle.check_settled(region)


def _entry(history: History, pick: Pick) -> str:
    """Returns the name of an entry, preferring one that is running."""
    names = history.world.entry_names
    name = names[pick(len(names))]
    process = history.world.processes[name]
    if process.alive and not process.paused:
        return name
    return names[pick(len(names))]


def _agent(history: History, pick: Pick) -> str:
    names = history.world.agent_names
    return names[pick(len(names))]


def _entry_or_agent(history: History, pick: Pick) -> str:
    return _entry(history, pick) if pick(2) else _agent(history, pick)


def _link(history: History, pick: Pick):
    links = history.world.links
    return links[pick(len(links))] if links else None


def submit(history: History, pick: Pick) -> None:
    """Submits a new job."""
    submission = history.world.new_submission(
        f"j{len(history.jobs)}",
        SIZES[pick(len(SIZES))],
        ("dublin", "dublin", "varna")[pick(3)],
        DEADLINES_S[pick(len(DEADLINES_S))],
        age_s=(0.0, 0.0, 0.03, -0.03, 5.0, 119.9)[pick(6)],
    )
    history.jobs.append(submission)
    history.world.submit(_entry(history, pick), submission)


def submit_impossible(history: History, pick: Pick) -> None:
    """Submits a job that needs more memory than any worker has."""
    submission = history.world.new_submission(
        f"j{len(history.jobs)}", 2, memory_bytes=2**38
    )
    history.jobs.append(submission)
    history.world.submit(_entry(history, pick), submission)


def resubmit(history: History, pick: Pick) -> None:
    """Resubmits a known job, often one of the newest."""
    if not history.jobs:
        return
    candidates = history.jobs[-3:] if pick(3) else history.jobs
    submission = candidates[pick(len(candidates))]
    if pick(4) == 0:
        submission = dataclasses.replace(submission, deadline_s=3.0)
    history.world.submit(_entry(history, pick), submission)


def race(history: History, pick: Pick) -> None:
    """Submits one job through two entries at nearly the same time."""
    submit(history, pick)
    history.world.run((0.0, 0.001, 0.002, 0.004)[pick(4)])
    history.world.submit(_entry(history, pick), history.jobs[-1])


def conflict(history: History, pick: Pick) -> None:
    """Submits other tasks under a known key."""
    if not history.jobs:
        return
    known = history.jobs[pick(len(history.jobs))]
    other = history.world.new_submission("x", 2, tag=f"other{pick(2)}")
    other = dataclasses.replace(other, job=known.job)
    history.world.submit(_entry(history, pick), other)


def cancel(history: History, pick: Pick) -> None:
    """Cancels a job through some entry."""
    if history.jobs:
        job = history.jobs[-1 - pick(min(3, len(history.jobs)))].job
        history.world.cancel(_entry(history, pick), job)


def drop(history: History, pick: Pick) -> None:
    """Breaks a link, which loses the messages in flight."""
    link = _link(history, pick)
    if link is not None:
        history.world.break_link(link)


def silence(history: History, pick: Pick) -> None:
    """Makes a link drop every message until its ends time out."""
    link = _link(history, pick)
    if link is not None:
        history.world.blackhole_link(link)


def disturb(history: History, pick: Pick) -> None:
    """Delays, duplicates and reorders messages on some links."""
    for _ in range(4):
        link = _link(history, pick)
        if link is None:
            return
        link.disorder = pick(6)
        link.duplicates = pick(6)
        link.delay_s = (0.0, 0.0, 0.01, 0.3, 1.0)[pick(5)]


def echo(history: History, pick: Pick) -> None:
    """Delivers all messages of some classes twice for a while."""
    region = history.world
    classes = (
        message.Assign,
        message.Report,
        message.WitnessReply,
        message.Accept,
        message.SealReply,
        message.HeartbeatReply,
    )
    for duplicated in classes:
        if pick(2):
            region.duplicated_until_s[duplicated] = (
                region.now_s + (0.1, 3.0, 12.0)[pick(3)]
            )
    submit(history, pick)


def isolate_coordinator(history: History, pick: Pick) -> None:
    """Isolates a coordinator and submits its job through another entry."""
    region = history.world
    name = _entry(history, pick)
    submission = region.new_submission(
        f"j{len(history.jobs)}", 30, deadline_s=(1.0, 5.0)[pick(2)]
    )
    history.jobs.append(submission)
    region.submit(name, submission)
    region.run((0.004, 0.02, 0.2)[pick(3)])
    region.heal()
    region.partition({name})
    region.run((0.5, 3.2, 4.5)[pick(3)])
    resubmission = dataclasses.replace(submission, deadline_s=20.0)
    region.submit(_entry(history, pick), resubmission)


def pause_in_start(history: History, pick: Pick) -> None:
    """Pauses a zone's agents with tasks that are about to start.

    The zone is withdrawn, or one of the agents drained, in the meantime.
    """
    region = history.world
    zone = "abc"[pick(3)]
    names = [
        name
        for name in region.agent_names
        if region.processes[name].zone == zone
    ]
    slow_share = region.slow_share
    region.slow_share = 0.5
    submit(history, pick)
    region.run((0.003, 0.01, 0.1)[pick(3)])
    region.slow_share = slow_share
    for name in names:
        region.pause(name)
    change = _toggle_zone(zone) if pick(2) else _toggle_drain(names[0])
    region.publish(change)
    region.run((4.5, 6.0)[pick(2)])
    for name in names:
        region.resume(name)


def swing_retention(history: History, pick: Pick) -> None:
    """Shortens the retention until keys have expired, then restores it."""
    region = history.world
    region.publish(_set_retention(40.0))
    submit(history, pick)
    region.run(45.0)
    region.publish(_set_retention(120.0))
    region.run(2.0)
    restart(history, pick)
    region.run(2.0)
    for name in region.entry_names:
        region.submit(name, history.jobs[-1])


def kill(history: History, pick: Pick) -> None:
    """Kills a process."""
    history.world.kill(_entry_or_agent(history, pick))


def restart(history: History, pick: Pick) -> None:
    """Starts a new incarnation of a process."""
    history.world.run(0.2)
    history.world.restart(_entry_or_agent(history, pick))


def revive(history: History, pick: Pick) -> None:
    """Restarts all processes that are not alive."""
    history.world.run(0.2)
    for name, process in list(history.world.processes.items()):
        if not process.alive:
            history.world.start(name)


def kill_coordinator(history: History, pick: Pick) -> None:
    """Kills the entry of the newest job and resubmits the job elsewhere."""
    if not history.jobs:
        return
    job = history.jobs[-1]
    requests = history.world.oracle.requests[job.job]
    if requests:
        history.world.kill(requests[-1].process.name)
        history.world.run(WAITS_S[pick(5)])
    history.world.submit(_entry(history, pick), job)


def pause_coordinator(history: History, pick: Pick) -> None:
    """Pauses the entry of the newest job until another takes it over."""
    if not history.jobs:
        return
    job = history.jobs[-1]
    requests = history.world.oracle.requests[job.job]
    if not requests:
        return
    name = requests[-1].process.name
    history.world.pause(name)
    history.world.run((0.1, 3.2, 6.0)[pick(3)])
    history.world.submit(_entry(history, pick), job)
    history.world.run(WAITS_S[pick(5)])
    if pick(3):
        history.world.resume(name)


def part_entries(history: History, pick: Pick) -> None:
    """Partitions an entry from the others, while agents reach all of them."""
    region = history.world
    isolated = region.entry_names[pick(len(region.entry_names))]
    others = set(region.entry_names) - {isolated}
    region.heal()
    region.partition(set(), {frozenset((isolated, name)) for name in others})
    if not history.jobs:
        return
    region.run((0.5, 3.2, 6.0)[pick(3)])
    job = history.jobs[-1]
    region.submit(isolated, job)
    region.run(WAITS_S[pick(5)])
    region.submit(sorted(others)[pick(len(others))], job)


def takeover_race(history: History, pick: Pick) -> None:
    """Kills a running job's coordinator and has two others take it over."""
    region = history.world
    live = [n for n in region.entry_names if region.processes[n].alive]
    if not live:
        return
    submit(history, pick)
    job = history.jobs[-1]
    region.run((0.002, 0.01, 0.05, 0.3)[pick(4)])
    first = region.oracle.requests[job.job][-1].process.name
    region.kill(first)
    region.run((0.0, 0.5, 4.0)[pick(3)])
    for name in live:
        if name != first:
            region.submit(name, job)
            region.run(WAITS_S[pick(4)])


def kill_zone(history: History, pick: Pick) -> None:
    """Kills all processes of a zone."""
    zone = "abc"[pick(3)]
    for name, process in history.world.processes.items():
        if process.zone == zone:
            history.world.kill(name)


def pause(history: History, pick: Pick) -> None:
    """Pauses a process."""
    history.world.pause(_entry_or_agent(history, pick))


def resume(history: History, pick: Pick) -> None:
    """Resumes some of the paused processes."""
    for name in list(history.world.processes):
        if pick(3):
            history.world.resume(name)


def partition(history: History, pick: Pick) -> None:
    """Partitions a zone, or a few processes, from the rest."""
    region = history.world
    if pick(2):
        zone = "abc"[pick(3)]
        names = {n for n, p in region.processes.items() if p.zone == zone}
    else:
        names = {_entry_or_agent(history, pick) for _ in range(1 + pick(4))}
    region.heal()
    region.partition(names)
    if pick(2) and len(names.intersection(region.entry_names)) == 1:
        region.disconnect_from_log(names.intersection(region.entry_names))


def heal(history: History, pick: Pick) -> None:
    """Ends the partition."""
    history.world.heal()
    history.world.disconnect_from_log(set())


def cut_log(history: History, pick: Pick) -> None:
    """Disconnects one entry from the log only."""
    history.world.disconnect_from_log({_entry(history, pick)})


def cut_stream(history: History, pick: Pick) -> None:
    """Disconnects an entry from a stream of the log, or reconnects it."""
    stream = ("config", "members", "members")[pick(3)]
    region = history.world
    if region.disconnected_from_stream:
        region.reconnect_streams()
    else:
        region.disconnect_from_stream(_entry(history, pick), stream)


def log_outage(history: History, pick: Pick) -> None:
    """Makes the log unavailable, or available again."""
    region = history.world
    region.set_log_unavailable(not region.log_unavailable)


def log_slow(history: History, pick: Pick) -> None:
    """Changes the latency of the log."""
    history.world.log_slow_s = (0.0, 0.1, 0.4, 0.7)[pick(4)]


def _toggle_zone(name: str) -> Callable:
    def change(old: config.Configuration) -> config.Configuration:
        zones = tuple(
            dataclasses.replace(zone, withdrawn=not zone.withdrawn)
            if zone.name == name
            else zone
            for zone in old.zones
        )
        return dataclasses.replace(old, zones=zones)

    return change


def _toggle_drain(name: str) -> Callable:
    def change(old: config.Configuration) -> config.Configuration:
        names = set(old.draining_servers) ^ {name}
        return dataclasses.replace(old, draining_servers=tuple(sorted(names)))

    return change


def _set_retention(retention_s: float) -> Callable:
    def change(old: config.Configuration) -> config.Configuration:
        return dataclasses.replace(old, retention_s=retention_s)

    return change


def _change(history: History, pick: Pick) -> Callable:
    kind = pick(5)
    if kind < 2:
        return _toggle_zone("abc"[pick(3)])
    if kind < 4:
        return _toggle_drain(_agent(history, pick))
    return _set_retention((120.0, 60.0, 40.0)[pick(3)])


def operate(history: History, pick: Pick) -> None:
    """Publishes a withdrawal, a drain, the end of one, or a retention."""
    history.world.publish(_change(history, pick), lost=bool(pick(2)))


def race_operators(history: History, pick: Pick) -> None:
    """Has two operators publish changes at the same time."""
    for _ in range(2):
        history.world.publish(_change(history, pick), lost=bool(pick(2)))


def withdraw_and_cut(history: History, pick: Pick) -> None:
    """Withdraws a zone, then partitions it or makes the log unavailable."""
    zone = "abc"[pick(3)]
    region = history.world
    region.publish(_toggle_zone(zone))
    region.run((0.02, 0.1, 0.4)[pick(3)])
    if pick(3):
        names = {n for n, p in region.processes.items() if p.zone == zone}
        region.heal()
        region.partition(names)
        entries = names.intersection(region.entry_names)
        region.disconnect_from_log(entries if pick(2) else set())
        region.run((0.5, 2.0, 4.1)[pick(3)])
        for name in entries:
            submit(history, pick)
            region.submit(name, history.jobs[-1])
    elif not region.log_unavailable:
        region.set_log_unavailable(True)


def shut_down(history: History, pick: Pick) -> None:
    """Shuts a process down gracefully."""
    history.world.shut_down(_entry_or_agent(history, pick))


def backend(history: History, pick: Pick) -> None:
    """Makes a backend server unreachable, or reachable again."""
    process = history.world.processes[_agent(history, pick)]
    process.backend_up = not process.backend_up


def wait(history: History, pick: Pick) -> None:
    """Runs the simulation for a longer time."""
    history.world.run(LONG_WAITS_S[pick(len(LONG_WAITS_S))])


STEPS = {
    function.__name__: function
    for function in (
        submit,
        submit_impossible,
        resubmit,
        race,
        conflict,
        cancel,
        drop,
        silence,
        disturb,
        echo,
        isolate_coordinator,
        pause_in_start,
        swing_retention,
        kill,
        restart,
        revive,
        kill_coordinator,
        pause_coordinator,
        part_entries,
        takeover_race,
        kill_zone,
        pause,
        resume,
        partition,
        heal,
        cut_log,
        cut_stream,
        log_outage,
        log_slow,
        operate,
        race_operators,
        withdraw_and_cut,
        shut_down,
        backend,
        wait,
    )
}

# Relative frequencies of the steps; 1 for those not listed.
FREQUENCIES = {
    "submit": 6,
    "resubmit": 5,
    "race": 3,
    "kill_coordinator": 2,
    "pause_coordinator": 2,
    "part_entries": 2,
    "takeover_race": 2,
    "revive": 3,
    "resume": 3,
    "heal": 3,
    "disturb": 2,
    "echo": 3,
    "isolate_coordinator": 2,
    "pause_in_start": 2,
    "drop": 2,
    "operate": 2,
}
WEIGHTED = tuple(
    name for name in STEPS for _ in range(FREQUENCIES.get(name, 1))
)


def play(seed: int, steps: int = 50) -> History:
    """Plays one seeded history and ends its faults.

    Raises:
        oracle.ViolationError: An invariant does not hold; the message names
            the seed and the last steps.
    """
    rng = random.Random(seed)
    history = History(seed)
    try:
        for _ in range(steps):
            history.apply(rng.choice(WEIGHTED), rng.randrange)
        history.settle()
    except Exception as error:
        recent = ", ".join(history.steps[-8:])
        place = f"seed {seed}, step {len(history.steps)} ({recent})"
        raise oracle.ViolationError(f"{place}: {error!r}") from error
    return history
