"""Shows the system on loopback: resubmission, a killed entry, a zone out.

Exits with 1 when a check fails.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable

from egretthread import apierror, client, console, operators
from egretthread.outcome import JobAnswer
from egretthread_standins import children, cluster, ledger
from egretthread_standins.checks import Check, print_checks
from egretthread_standins.cluster import Cluster, Start

SEED = 1
TASKS = 100
TASK_RUN_S = (0.05, 0.3)
LONG_TASK_RUN_S = (0.3, 1.0)
KILL_AFTER_STARTS = 20
TRICKLE_TASKS = 9
TRICKLE_RUN_S = (0.02, 0.05)
TRICKLE_PAUSE_S = 0.03
TRICKLE_CALLERS = 3
# A withdrawn zone counts as quiet after this long without a start.
QUIET_S = 5.0
ZONE_LIMIT_S = 30.0
LAST_START_LIMIT_S = 5.0
DEMO_LIMIT_S = 240.0


@dataclasses.dataclass
class Trickle:
    """Small jobs that a few callers submit in the background.

    Attributes:
        stop: Set to end it.
        answers: The answers so far.
        responses_s: Response time of each answer.
        errors: What was raised instead of an answer.
    """

    stop: asyncio.Event
    answers: list[JobAnswer] = dataclasses.field(default_factory=list)
    responses_s: list[float] = dataclasses.field(default_factory=list)
    errors: list[str] = dataclasses.field(default_factory=list)


def make_job(
    rng: random.Random, tasks: int, run_s: tuple[float, float]
) -> client.Job:
    """Returns a ledger-match job of line lookups with random run times."""
    payloads = [
        {
            "kind": "line-lookup",
            "line": ledger.make_line(SEED, rng.randrange(ledger.ACCOUNTS)),
            "run_s": round(rng.uniform(*run_s), 3),
        }
        for _ in range(tasks)
    ]
    return client.Job(
        client.new_key(),
        cluster.SERVICE,
        tuple(client.Task(payload) for payload in payloads),
    )


def ideal_s(job: client.Job) -> float:
    """Returns the least time in which the slots can run a job's tasks."""
    runs_s = [task.payload["run_s"] for task in job.tasks]
    slots = cluster.SLOTS * cluster.AGENTS_PER_ZONE * len(cluster.ZONES)
    return max(max(runs_s), sum(runs_s) / slots)


def starts_of(starts: list[Start], key: str) -> list[Start]:
    """Returns the starts of one job's tasks."""
    return [start for start in starts if start.key == key]


def doubled(starts: list[Start]) -> int:
    """Returns how many tasks started more than once."""
    counts = collections.Counter((s.key, s.index) for s in starts)
    return sum(count > 1 for count in counts.values())


async def warm_up(running: Cluster, rng: random.Random) -> None:
    """Submits a first job, under fresh keys until witnesses take one."""
    caller = running.client("entry-1", "entry-2")
    job = make_job(rng, cluster.SLOTS, TRICKLE_RUN_S)
    answer = await caller.submit(job, rekey=True)
    caller.close()
    console.progress(f"first job {answer.key} complete={answer.complete}")


async def show_resubmission(
    running: Cluster, rng: random.Random
) -> list[Check]:
    """Submits a job through one entry, then again through the other."""
    first, second = running.client("entry-1"), running.client("entry-2")
    job = make_job(rng, TASKS, TASK_RUN_S)
    begun_s = time.monotonic()
    answer = await first.submit(job)
    response_s = time.monotonic() - begun_s
    again = await second.submit(job)
    first.close()
    second.close()
    starts = starts_of(await running.starts(), job.key)
    ratio = response_s / ideal_s(job)
    return [
        Check(
            "job of 100 is complete",
            answer.complete,
            f"{response_s:.3f} s, response/ideal {ratio:.2f}",
        ),
        Check("tasks started", len(starts) == TASKS, str(len(starts))),
        Check("resubmission gets the same answer", again == answer, again.key),
        Check("started twice", doubled(starts) == 0, str(doubled(starts))),
    ]


async def show_killed_entry(
    running: Cluster, rng: random.Random
) -> list[Check]:
    """Kills the entry that runs a job and resubmits through the other."""
    first, second = running.client("entry-1"), running.client("entry-2")
    job = make_job(rng, TASKS, LONG_TASK_RUN_S)
    lost = asyncio.create_task(first.submit(job))

    async def is_under_way() -> bool:
        starts = starts_of(await running.starts(), job.key)
        return len(starts) >= KILL_AFTER_STARTS

    await cluster.wait_for(is_under_way, ZONE_LIMIT_S, "the first starts")
    running.entries["entry-1"].send(signal.SIGKILL)
    killed_s = time.monotonic()
    await running.entries["entry-1"].process.wait()
    lost.cancel()
    first.close()
    console.progress("entry-1 killed, resubmitting through entry-2")
    answer = await second.submit(job)
    recovery_s = time.monotonic() - killed_s
    second.close()
    await running.start_entry("entry-1")
    starts = starts_of(await running.starts(), job.key)
    return [
        Check(
            "job of a killed entry is complete",
            answer.complete,
            f"{recovery_s:.3f} s after the kill; {describe(answer)}",
        ),
        Check("tasks started", len(starts) == TASKS, str(len(starts))),
        Check("started twice", doubled(starts) == 0, str(doubled(starts))),
    ]


async def show_zone(running: Cluster, rng: random.Random) -> list[Check]:
    """Takes a zone out and back under a trickle of jobs."""
    zone = cluster.ZONES[0]
    await running.wait_ready()
    trickle = Trickle(asyncio.Event())
    submitting = asyncio.gather(
        *(submit_trickle(running, rng, trickle) for _ in range(TRICKLE_CALLERS))
    )
    await wait_for_start(running, zone, time.time())

    console.progress(f"withdrawing {zone}")
    withdrawn_s = time.time()
    withdrawn = await running.change(lambda c: operators.withdraw_zone(c, zone))
    await wait_for_quiet(running, zone)
    before = await running.starts()
    last_s = max(s.at_s for s in before if s.zone == zone) - withdrawn_s

    console.progress(f"restoring {zone}")
    restored_s = time.time()
    restored = await running.change(lambda c: operators.restore_zone(c, zone))
    await wait_for_start(running, zone, restored_s)
    trickle.stop.set()
    await submitting
    starts = await running.starts()
    back_s = min(
        s.at_s for s in starts if s.zone == zone and s.at_s > restored_s
    )
    complete = sum(answer.complete for answer in trickle.answers)
    worst_s = max(trickle.responses_s)
    return [
        Check(
            f"last start in {zone} after publication",
            last_s <= LAST_START_LIMIT_S,
            f"{last_s:.3f} s (offset {withdrawn.offset})",
        ),
        Check(
            f"first start in {zone} after its return",
            True,
            f"{back_s - restored_s:.3f} s (offset {restored.offset})",
        ),
        Check(
            "jobs of the trickle complete",
            complete == len(trickle.answers) and not trickle.errors,
            f"{complete} of {len(trickle.answers) + len(trickle.errors)},"
            f" slowest {worst_s:.3f} s {' '.join(trickle.errors[:3])}",
        ),
        Check(
            "started twice, all jobs",
            doubled(starts) == 0,
            str(doubled(starts)),
        ),
        Check("tasks started, all jobs", True, str(len(starts))),
    ]


async def submit_trickle(
    running: Cluster, rng: random.Random, trickle: Trickle
) -> None:
    """Submits small jobs one after the other until told to stop."""
    caller = running.client("entry-1", "entry-2")
    while not trickle.stop.is_set():
        job = make_job(rng, TRICKLE_TASKS, TRICKLE_RUN_S)
        begun_s = time.monotonic()
        try:
            answer = await caller.submit(job, rekey=True)
        except apierror.ApiError as error:
            trickle.errors.append(error.message)
        else:
            trickle.answers.append(answer)
            trickle.responses_s.append(time.monotonic() - begun_s)
        await asyncio.sleep(TRICKLE_PAUSE_S)
    caller.close()


async def wait_for_start(running: Cluster, zone: str, after_s: float) -> None:
    """Waits until a task starts in a zone after a Unix time."""

    async def has_started() -> bool:
        starts = await running.starts()
        return any(s.zone == zone and s.at_s > after_s for s in starts)

    await cluster.wait_for(has_started, ZONE_LIMIT_S, f"a start in {zone}")


async def wait_for_quiet(running: Cluster, zone: str) -> None:
    """Waits until no task has started in a zone for a while."""

    async def is_quiet() -> bool:
        starts = await running.starts()
        last_s = max(s.at_s for s in starts if s.zone == zone)
        return time.time() - last_s >= QUIET_S

    await cluster.wait_for(is_quiet, ZONE_LIMIT_S, f"quiet in {zone}")


async def show_shutdown(running: Cluster) -> list[Check]:
    """Ends all processes gracefully."""
    begun_s = time.monotonic()
    codes = await running.end()
    bad = [f"{name}={code}" for name, code in codes.items() if code != 0]
    seen = f"{time.monotonic() - begun_s:.1f} s"
    return [
        Check(
            f"{len(codes)} processes end with 0",
            not bad,
            " ".join((seen, *bad)),
        )
    ]


def describe(answer: JobAnswer) -> str:
    """Returns how many tasks have which outcome."""
    counts = collections.Counter(outcome.kind for outcome in answer.outcomes)
    return ", ".join(f"{count} {kind}" for kind, count in counts.items())


SCENES: dict[str, Callable] = {
    "resubmission": show_resubmission,
    "killed entry": show_killed_entry,
    "zone out and back": show_zone,
}


async def play(directory: pathlib.Path) -> list[Check]:
    """Runs every scene on one cluster and returns the checks."""
    running = Cluster(directory)
    rng = random.Random(SEED)
    checks = []
    try:
        await running.start()
        await warm_up(running, rng)
        for name, scene in SCENES.items():
            console.progress(f"scene: {name}")
            checks += await scene(running, rng)
        checks += await show_shutdown(running)
    finally:
        await running.close()
    return checks


async def run(directory: pathlib.Path) -> bool:
    """Runs the demo within its time limit; whether every check holds."""
    own_task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, own_task.cancel)
    async with asyncio.timeout(DEMO_LIMIT_S):
        checks = await play(directory)
    print_checks(checks)
    return all(check.ok for check in checks)


def main() -> None:
    """Runs the demo; its settings and logs are kept unless all went well."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="egretthread-demo-"))
    console.progress(f"settings and logs are in {directory}")
    try:
        passed = asyncio.run(run(directory))
    except (children.ChildError, TimeoutError) as error:
        console.progress(f"error: {error or 'the time limit passed'}")
        passed = False
    if not passed:
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()
