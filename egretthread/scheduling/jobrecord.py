"""Records of kept jobs on the store: what was submitted, and how far it is."""

import base64
import dataclasses
import enum
import zlib

import orjson

from egretthread import util
from egretthread.scheduling.jobspec import JobSpec, Route, StepSpec
from egretthread.scheduling.room import Room

# Key of the record that cancels a job: its id with this suffix.
CANCEL_SUFFIX = "/cancel"


class RecordError(util.EgretthreadError):
    """A record does not have its form."""

    kind = "job_record"


class JobState(enum.StrEnum):
    """What callers are told of a kept job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


@dataclasses.dataclass(frozen=True)
class Submission:
    """A kept job as it was submitted.

    Attributes:
        spec: The job.
        route: Its queue, as configured then.
        accepted_unix_s: When it was submitted.
    """

    spec: JobSpec
    route: Route
    accepted_unix_s: float


@dataclasses.dataclass(frozen=True)
class Progress:
    """How far a kept job is.

    Attributes:
        state: RUNNING while it is open, else how it ended.
        done: Indices of the tasks that are done, by step.
        failures: Runs that failed, by (step, index).
        ended_unix_s: When it ended; 0 while it is open.
    """

    state: JobState = JobState.RUNNING
    done: dict[int, frozenset[int]] = dataclasses.field(default_factory=dict)
    failures: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    ended_unix_s: float = 0.0


def partition_of(job: str, parts: int) -> int:
    """Returns the partition of a job."""
    return zlib.crc32(job.encode()) % parts


def encode_submission(submission: Submission) -> bytes:
    """Returns the value of a job's record."""
    return orjson.dumps(submission)


def decode_submission(value: bytes) -> Submission:
    """Returns what a job's record says.

    Raises:
        RecordError: It does not have its form.
    """
    try:
        table = orjson.loads(value)
        spec = table["spec"]
        steps = tuple(_step(row) for row in spec.pop("steps"))
        return Submission(
            JobSpec(steps=steps, **spec),
            Route(**table["route"]),
            table["accepted_unix_s"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed(error) from error


def _step(row: dict) -> StepSpec:
    row["room"] = Room(**row["room"])
    row["after"] = tuple(row["after"])
    row["unsupported"] = tuple(row["unsupported"])
    return StepSpec(**row)


def encode_progress(progress: Progress) -> bytes:
    """Returns the value of a progress record."""
    return orjson.dumps(
        {
            "state": progress.state,
            "done": {
                str(step): _encode_set(indices)
                for step, indices in progress.done.items()
            },
            "failures": [
                (*task, count) for task, count in progress.failures.items()
            ],
            "ended_unix_s": progress.ended_unix_s,
        }
    )


def decode_progress(value: bytes) -> Progress:
    """Returns what a progress record says.

    Raises:
        RecordError: It does not have its form.
    """
    try:
        table = orjson.loads(value)
        return Progress(
            JobState(table["state"]),
            {int(k): _decode_set(v) for k, v in table["done"].items()},
            {(step, index): n for step, index, n in table["failures"]},
            table["ended_unix_s"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed(error) from error


def _encode_set(indices: frozenset[int]) -> str:
    bits = sum(1 << index for index in indices)
    length = (bits.bit_length() + 7) // 8
    return base64.b64encode(bits.to_bytes(length, "little")).decode()


def _decode_set(text: str) -> frozenset[int]:
    bits = int.from_bytes(base64.b64decode(text), "little")
    return frozenset(n for n in range(bits.bit_length()) if bits >> n & 1)


def _malformed(error: Exception) -> RecordError:
    return RecordError(
        f"a job's record can't be read: {error!r}",
        "let one release of egretthread alone write the job log",
    )
