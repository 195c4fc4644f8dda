"""Retries of refused callers, one after the other.

Callers that are refused together and told the same delay retry together, and
most are refused again. Each refusal therefore books its job's work behind that
booked before it, and its caller is told when that should have been served. A
caller that retries at its time goes before those that arrive then.
"""

import math
import random

from egretthread.scheduling import admission
from egretthread.scheduling.entryboard import EntryBoard
from egretthread.scheduling.jobspec import Route
from egretthread.scheduling.loadsettings import ShareRule
from egretthread.scheduling.retrybook import RetryBook

# Maximum number of refused jobs that are remembered; the oldest are forgotten
# first. A job takes 115 bytes, so all take 0.5 MB.
MAX_REMEMBERED = 4000
# How much before its time a caller may arrive, for clocks that differ.
EARLY_S = 0.05
# How long after its time a caller still goes first.
LATE_S = 1.0


def book(
    board: EntryBoard,
    job_id: str,
    route: Route,
    share: ShareRule,
    work_cpu_s: float,
    load: admission.Load,
) -> float:
    """Books the retry of a refused job; returns the recommended delay, in s.

    It is a whole number, since callers are sent whole seconds.

    Args:
        board: The blackboard.
        job_id: Id of the job.
        route: Its route.
        share: Its share of the capacity.
        work_cpu_s: Its work, in thousandths of a core x seconds.
        load: The load that it met.
    """
    state = board.retries
    key = (route.service, share.name, route.priority)
    now_s = board.now_s
    booked_until_s = state.booked_until_s.get(key, 0.0)
    begin_s = max(now_s + admission.MIN_RETRY_S, booked_until_s)
    delay_s = begin_s - now_s
    if delay_s < admission.MAX_RETRY_S:
        served_s = work_cpu_s / _served_rate(load)
        state.booked_until_s[key] = begin_s + served_s
    else:
        delay_s = board.rng.uniform(
            admission.MIN_RETRY_S, admission.MAX_RETRY_S
        )
    delay_s = _whole_seconds(board.rng, delay_s)
    _remember(state, job_id, now_s + delay_s)
    return delay_s


def claim(board: EntryBoard, job_id: str) -> bool:
    """Whether a refused job is retried at its time; true only once for each."""
    due_s = board.retries.due_s.pop(job_id, None)
    if due_s is None:
        return False
    return due_s - EARLY_S <= board.now_s <= due_s + LATE_S


def _served_rate(load: admission.Load) -> float:
    """Returns the rate at which refused work is expected to be served."""
    least_rate = admission.MIN_SURPLUS_SHARE * load.usable_cpu
    return max(1.0, load.surplus_rate, least_rate)


def _whole_seconds(rng: random.Random, delay_s: float) -> float:
    """Rounds a delay at random, so that the mean of many is kept."""
    whole_s = math.floor(delay_s)
    if rng.random() < delay_s - whole_s:
        whole_s += 1
    return float(max(1, whole_s))


def _remember(state: RetryBook, job_id: str, due_s: float) -> None:
    state.due_s.pop(job_id, None)
    state.due_s[job_id] = due_s
    if len(state.due_s) > MAX_REMEMBERED:
        del state.due_s[next(iter(state.due_s))]
