"""Demonstrates the system on loopback and checks the results.

It resubmits a job, kills an entry and withdraws an availability zone. It
exits with 1 when a check fails.
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
BACKGROUND_TASKS = 9
BACKGROUND_RUN_S = (0.02, 0.05)
BACKGROUND_PAUSE_S = 0.03
BACKGROUND_CALLERS = 3
# A withdrawn zone counts as stopped after this time without a start.
NO_START_S = 5.0
WAIT_LIMIT_S = 30.0
LAST_START_LIMIT_S = 5.0
DEMO_LIMIT_S = 240.0


@dataclasses.dataclass
class BackgroundLoad:
    """Results of small jobs that several callers submit in the background.

    Attributes:
        stop: Set to end the load.
        answers: Answers so far.
        responses_s: Response time of each answer.
        errors: Message of each error.
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
    """Returns a lower bound of the time in which the slots can run a job."""
    runs_s = [task.payload["run_s"] for task in job.tasks]
    slots = cluster.SLOTS * cluster.AGENTS_PER_ZONE * len(cluster.ZONES)
    return max(max(runs_s), sum(runs_s) / slots)


def starts_of(starts: list[Start], key: str) -> list[Start]:
    """Returns the starts of one job's tasks."""
    return [start for start in starts if start.key == key]


def count_double_starts(starts: list[Start]) -> int:
    """Returns how many tasks started more than once."""
    counts = collections.Counter((s.key, s.index) for s in starts)
    return sum(count > 1 for count in counts.values())


async def warm_up(running: Cluster, rng: random.Random) -> None:
    """Submits a first job, with new keys until the witnesses accept one."""
    caller = running.client("entry-1", "entry-2")
    job = make_job(rng, cluster.SLOTS, BACKGROUND_RUN_S)
    answer = await caller.submit(job, rekey=True)
    caller.close()
    console.progress(f"first job {answer.key} complete={answer.complete}")


async def check_resubmission(
    running: Cluster, rng: random.Random
) -> list[Check]:
    """Submits a job through one entry, then through the other."""
    first, second = running.client("entry-1"), running.client("entry-2")
    job = make_job(rng, TASKS, TASK_RUN_S)
    begun_s = time.monotonic()
    answer = await first.submit(job)
    response_s = time.monotonic() - begun_s
    second_answer = await second.submit(job)
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
        Check(
            "resubmission gets the same answer",
            second_answer == answer,
            second_answer.key,
        ),
        Check(
            "started twice",
            count_double_starts(starts) == 0,
            str(count_double_starts(starts)),
        ),
    ]


async def check_killed_entry(
    running: Cluster, rng: random.Random
) -> list[Check]:
    """Kills a job's coordinator and resubmits through the other entry."""
    first, second = running.client("entry-1"), running.client("entry-2")
    job = make_job(rng, TASKS, LONG_TASK_RUN_S)
    abandoned = asyncio.create_task(first.submit(job))

    async def has_started() -> bool:
        starts = starts_of(await running.starts(), job.key)
        return len(starts) >= KILL_AFTER_STARTS

    await cluster.wait_for(has_started, WAIT_LIMIT_S, "the first starts")
    running.entries["entry-1"].send(signal.SIGKILL)
    killed_s = time.monotonic()
    await running.entries["entry-1"].process.wait()
    abandoned.cancel()
    first.close()
    console.progress("entry-1 killed; resubmitting through entry-2")
    answer = await second.submit(job)
    recovery_s = time.monotonic() - killed_s
    second.close()
    await running.start_entry("entry-1")
    starts = starts_of(await running.starts(), job.key)
    return [
        Check(
            "job of the killed entry is complete",
            answer.complete,
            f"{recovery_s:.3f} s after the kill; {format_outcomes(answer)}",
        ),
        Check("tasks started", len(starts) == TASKS, str(len(starts))),
        Check(
            "started twice",
            count_double_starts(starts) == 0,
            str(count_double_starts(starts)),
        ),
    ]


async def check_zone(running: Cluster, rng: random.Random) -> list[Check]:
    """Withdraws a zone and restores it under a background load."""
    zone = cluster.ZONES[0]
    await running.wait_ready()
    load = BackgroundLoad(asyncio.Event())
    submitting = asyncio.gather(
        *(
            submit_background(running, rng, load)
            for _ in range(BACKGROUND_CALLERS)
        )
    )
    await wait_for_start(running, zone, time.time())

    console.progress(f"withdrawing {zone}")
    withdrawn_s = time.time()
    withdrawn = await running.change(lambda c: operators.withdraw_zone(c, zone))
    await wait_for_no_starts(running, zone)
    before = await running.starts()
    last_s = max(s.at_s for s in before if s.zone == zone) - withdrawn_s

    console.progress(f"restoring {zone}")
    restored_s = time.time()
    restored = await running.change(lambda c: operators.restore_zone(c, zone))
    await wait_for_start(running, zone, restored_s)
    load.stop.set()
    await submitting
    starts = await running.starts()
    back_s = min(
        s.at_s for s in starts if s.zone == zone and s.at_s > restored_s
    )
    complete = sum(answer.complete for answer in load.answers)
    worst_s = max(load.responses_s)
    return [
        Check(
            f"last start in {zone} after publication",
            last_s <= LAST_START_LIMIT_S,
            f"{last_s:.3f} s (offset {withdrawn.offset})",
        ),
        Check(
            f"first start in {zone} after its restoration",
            True,
            f"{back_s - restored_s:.3f} s (offset {restored.offset})",
        ),
        Check(
            "jobs of the background load complete",
            complete == len(load.answers) and not load.errors,
            f"{complete} of {len(load.answers) + len(load.errors)},"
            f" slowest {worst_s:.3f} s {' '.join(load.errors[:3])}",
        ),
        Check(
            "tasks started twice, all jobs",
            count_double_starts(starts) == 0,
            str(count_double_starts(starts)),
        ),
        Check("tasks started, all jobs", True, str(len(starts))),
    ]


async def submit_background(
    running: Cluster, rng: random.Random, load: BackgroundLoad
) -> None:
    """Submits small jobs one after the other until `stop` is set."""
    caller = running.client("entry-1", "entry-2")
    while not load.stop.is_set():
        job = make_job(rng, BACKGROUND_TASKS, BACKGROUND_RUN_S)
        begun_s = time.monotonic()
        try:
            answer = await caller.submit(job, rekey=True)
        except apierror.ApiError as error:
            load.errors.append(error.message)
        else:
            load.answers.append(answer)
            load.responses_s.append(time.monotonic() - begun_s)
        await asyncio.sleep(BACKGROUND_PAUSE_S)
    caller.close()


async def wait_for_start(running: Cluster, zone: str, after_s: float) -> None:
    """Waits for a start in a zone later than a Unix time."""

    async def has_started() -> bool:
        starts = await running.starts()
        return any(s.zone == zone and s.at_s > after_s for s in starts)

    await cluster.wait_for(has_started, WAIT_LIMIT_S, f"a start in {zone}")


async def wait_for_no_starts(running: Cluster, zone: str) -> None:
    """Waits until no task has started in a zone for `NO_START_S`."""

    async def has_stopped() -> bool:
        starts = await running.starts()
        last_s = max(s.at_s for s in starts if s.zone == zone)
        return time.time() - last_s >= NO_START_S

    await cluster.wait_for(
        has_stopped, WAIT_LIMIT_S, f"{NO_START_S} s without a start in {zone}"
    )


async def check_shutdown(running: Cluster) -> list[Check]:
    """Shuts all processes down gracefully."""
    begun_s = time.monotonic()
    codes = await running.end()
    failures = [f"{name}={code}" for name, code in codes.items() if code != 0]
    took = f"{time.monotonic() - begun_s:.1f} s"
    return [
        Check(
            f"{len(codes)} processes exit with 0",
            not failures,
            " ".join((took, *failures)),
        )
    ]


def format_outcomes(answer: JobAnswer) -> str:
    """Returns the number of tasks with each outcome, as text."""
    counts = collections.Counter(outcome.kind for outcome in answer.outcomes)
    return ", ".join(f"{count} {kind}" for kind, count in counts.items())


SCENARIOS: dict[str, Callable] = {
    "resubmission": check_resubmission,
    "killed entry": check_killed_entry,
    "zone withdrawn and restored": check_zone,
}


async def run_scenarios(directory: pathlib.Path) -> list[Check]:
    """Runs all scenarios on one cluster and returns the checks."""
    running = Cluster(directory)
    rng = random.Random(SEED)
    checks = []
    try:
        await running.start()
        await warm_up(running, rng)
        for name, scenario in SCENARIOS.items():
            console.progress(f"scenario: {name}")
            checks += await scenario(running, rng)
        checks += await check_shutdown(running)
    finally:
        await running.close()
    return checks


async def run(directory: pathlib.Path) -> bool:
    """Runs the demo within its time limit.

    Returns:
        Whether all checks pass.
    """
    own_task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, own_task.cancel)
    async with asyncio.timeout(DEMO_LIMIT_S):
        checks = await run_scenarios(directory)
    print_checks(checks)
    return all(check.ok for check in checks)


def main() -> None:
    """Runs the demo; keeps settings and logs when a check fails."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="egretthread-demo-"))
    console.progress(f"settings and logs are in {directory}")
    try:
        passed = asyncio.run(run(directory))
    except (children.ChildError, TimeoutError) as error:
        console.progress(
            f"error: {error or f'not finished within {DEMO_LIMIT_S} s'}"
        )
        passed = False
    if not passed:
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()
