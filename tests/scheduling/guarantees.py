"""Checks the guarantees of the scheduling path after a simulated history."""

import collections
import itertools

from egretthread.scheduling import jobrecord
from egretthread.scheduling.entryboard import Outcome


def violations(world):
    """Returns descriptions of all violated guarantees."""
    found = []
    runs = world.runs()
    for name, task_runs in runs.items():
        task_runs.sort()
        for earlier, later in itertools.pairwise(task_runs):
            if later[0] < earlier[1] - 1e-6:
                found.append(f"two runs at once: {name} {earlier} {later}")
    found += _kept_violations(world, runs)
    started = {name.job for name in runs}
    outcomes = collections.defaultdict(list)
    for job_id, outcome, _ in world.answers:
        outcomes[job_id].append(outcome)
    for job_id, seen in outcomes.items():
        refused = all(attempt is Outcome.REFUSED for attempt in seen)
        if refused and job_id in started and job_id not in world.callers:
            found.append(f"refused though it has run: {job_id}")
        if seen[-1] is Outcome.COMPLETED:
            for name in runs:
                if name.job != job_id:
                    continue
                if not any(task_run[2] == "done" for task_run in runs[name]):
                    found.append(f"completed without {name}")
    return found


def _may_have_failed(world, runs, job_id):
    """Whether a task of a kept job has failed as often as allowed."""
    submission = jobrecord.decode_submission(world.log.submissions[job_id])
    counts = (
        sum(task_run[2] == "failed" for task_run in task_runs)
        for name, task_runs in runs.items()
        if name.job == job_id
    )
    most = max(counts, default=0)
    return most >= submission.route.max_attempts or bool(world.crashes)


def _excess_attempts(world, runs):
    """Returns descriptions of starts of tasks that had failed for good."""
    failed_s = collections.defaultdict(list)
    for server in world.servers.values():
        for name, end_s, outcome in server.acknowledged:
            if name.job in world.log.submissions and outcome == "failed":
                failed_s[name].append(end_s)
    found = []
    for name, ends_s in failed_s.items():
        submission = jobrecord.decode_submission(
            world.log.submissions[name.job]
        )
        last = submission.route.max_attempts - 1
        if len(ends_s) > last:
            end_s = sorted(ends_s)[last]
            found += [
                f"start after its last attempt: {name} {run}"
                for run in runs[name]
                if run[0] > end_s
            ]
    return found


def _kept_violations(world, runs):
    """Returns descriptions of violated guarantees for kept jobs."""
    found = []
    for server in world.servers.values():
        for name, end_s, outcome in server.acknowledged:
            if name.job not in world.log.submissions or outcome != "done":
                continue
            for run in runs[name]:
                if run[0] > end_s:
                    found.append(f"start after its end: {name} {run}")
    found += _excess_attempts(world, runs)
    at_work = {
        name.job
        for name, task_runs in runs.items()
        if task_runs[-1][2] == "running"
    }
    for job_id, state in world.log.states().items():
        if state == "running" and job_id not in at_work:
            found.append(f"kept job not at work: {job_id}")
        if state == "open":
            found.append(f"kept job not ended: {job_id}")
        if state == "failed" and not _may_have_failed(world, runs, job_id):
            found.append(f"failed without cause: {job_id}")
        if state == "completed":
            done = {
                name
                for name, task_runs in runs.items()
                if name.job == job_id
                and any(task_run[2] == "done" for task_run in task_runs)
            }
            spec = jobrecord.decode_submission(
                world.log.submissions[job_id]
            ).spec
            if len(done) != sum(step.count for step in spec.steps):
                found.append(f"completed without its tasks: {job_id}")
    return found
