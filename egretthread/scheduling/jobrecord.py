"""Records of kept jobs in the store: their submissions and their progress."""

import base64
import dataclasses
import enum
import zlib

import orjson

from egretthread import util
from egretthread.scheduling.jobspec import JobSpec, Route, StepSpec
from egretthread.scheduling.room import Room

# Suffix of a job id that makes the key of the record that cancels the job.
CANCEL_SUFFIX = "/cancel"
# Key of the record of the progress topic that names the last coordinator of a
# partition, and of that of the topic of submissions in which a coordinator
# tells that it has handed the partition over. Earlier releases read them as the
# progress and as a cancellation of jobs that do not exist.
COORDINATOR_KEY = "coordinator"
HANDOVER_KEY = "handover" + CANCEL_SUFFIX
# How long after a cancellation a submission of the job may be stored that was
# on its way then. A later one is of a new job with the same id.
CANCEL_MEMORY_S = 30.0
# Time of a cancellation that does not tell it, as earlier releases write it.
# They cancel only jobs whose submission is stored.
UNKNOWN_TIME = -1.0


class RecordError(util.EgretthreadError):
    """A record of a kept job is malformed."""

    kind = "job_record"


class JobState(enum.StrEnum):
    """State of a kept job, as reported to callers."""

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
        route: Its route, as configured then.
        accepted_unix_s: When it was submitted.
    """

    spec: JobSpec
    route: Route
    accepted_unix_s: float


@dataclasses.dataclass(frozen=True)
class Progress:
    """Progress of a kept job.

    Attributes:
        state: RUNNING while it is open, else its final state.
        done: Indices of the tasks that are done, by step.
        failures: Number of failed runs, by step and index of the task.
        ended_unix_s: When it ended; 0 while it is open.
        crashes: Keys of the incarnations of backend servers that crashed under
            a task, by step and index of the task.
        superseded_all: Highest number of a run, of any task, whose end counts
            no longer, as the task may have been started again.
        superseded: The same by step and index of the task, where it is higher.
        ends: The runs whose ends are included, for the latest ends: step and
            index of the task, and number of the run.
        has_begun: Whether a run of it is known to have started.
    """

    state: JobState = JobState.RUNNING
    done: dict[int, frozenset[int]] = dataclasses.field(default_factory=dict)
    failures: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    ended_unix_s: float = 0.0
    crashes: dict[tuple[int, int], tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    superseded_all: int = 0
    superseded: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    ends: tuple[tuple[int, int, int], ...] = ()
    has_begun: bool = False


@dataclasses.dataclass(frozen=True)
class Cancellation:
    """A cancellation of the job with an id.

    Attributes:
        unix_s: When it was requested, or UNKNOWN_TIME.
        route: Name of the route on which it was requested.
        path: Host and path prefix of that route.
    """

    unix_s: float
    route: str = ""
    path: str = ""

    def applies_to(self, submission: Submission) -> bool:
        """Whether it cancels a submission, by its queue and its time.

        A route may have been renamed or moved since the submission.
        """
        if self.unix_s == UNKNOWN_TIME:
            return True
        route = submission.route
        is_late = submission.accepted_unix_s - self.unix_s >= CANCEL_MEMORY_S
        return not is_late and (
            route.name == self.route or path_of(route) == self.path
        )


def path_of(route: Route) -> str:
    """Returns the host and the path prefix of a route."""
    return route.host + route.path_prefix


def partition_of(job: str, partition_count: int) -> int:
    """Returns the number of the partition that a job belongs to."""
    return zlib.crc32(job.encode()) % partition_count


def encode_submission(submission: Submission) -> bytes:
    """Returns the value of a submission record."""
    return orjson.dumps(submission)


def decode_submission(value: bytes) -> Submission:
    """Returns the submission in a record.

    Raises:
        RecordError: The record is malformed.
    """
    try:
        table = orjson.loads(value)
        spec = table["spec"]
        steps = tuple(_decode_step(fields) for fields in spec.pop("steps"))
        return Submission(
            JobSpec(steps=steps, **spec),
            Route(**table["route"]),
            table["accepted_unix_s"],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed(error) from error


def encode_cancellation(cancellation: Cancellation) -> bytes:
    """Returns the value of a cancellation record."""
    return orjson.dumps(cancellation)


def decode_cancellation(value: bytes) -> Cancellation:
    """Returns the cancellation in a record.

    Raises:
        RecordError: The record is malformed.
    """
    try:
        table = orjson.loads(value)
        if table == 1:
            return Cancellation(UNKNOWN_TIME)
        return Cancellation(
            float(table["unix_s"]), str(table["route"]), str(table["path"])
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed(error) from error


def encode_coordinator(epoch: int) -> bytes:
    """Returns the value of the record that names a coordinator.

    Args:
        epoch: Its first epoch of the partition.
    """
    progress = orjson.loads(encode_progress(Progress()))
    return orjson.dumps({**progress, "epoch": epoch})


def encode_handover(epoch: int) -> bytes:
    """Returns the value of the record of a handover by that coordinator."""
    return orjson.dumps({"epoch": epoch})


def decode_epoch(value: bytes) -> int:
    """Returns the epoch in a record of a coordinator or of a handover.

    Raises:
        RecordError: The record is malformed.
    """
    try:
        return int(orjson.loads(value)["epoch"])
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed(error) from error


def _decode_step(fields: dict) -> StepSpec:
    fields["room"] = Room(**fields["room"])
    fields["after"] = tuple(fields["after"])
    fields["unsupported"] = tuple(fields["unsupported"])
    return StepSpec(**fields)


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
            "crashes": [
                (*task, keys) for task, keys in progress.crashes.items()
            ],
            "superseded_all": progress.superseded_all,
            "superseded": [
                (*task, number) for task, number in progress.superseded.items()
            ],
            "ends": progress.ends,
            "has_begun": progress.has_begun,
        }
    )


def decode_progress(value: bytes) -> Progress:
    """Returns the progress in a record.

    Raises:
        RecordError: The record is malformed.
    """
    try:
        table = orjson.loads(value)
        return Progress(
            JobState(table["state"]),
            {int(k): _decode_set(v) for k, v in table["done"].items()},
            {(step, index): n for step, index, n in table["failures"]},
            table["ended_unix_s"],
            {
                (step, index): tuple(keys)
                # Releases without these fields have written records too.
                for step, index, keys in table.get("crashes", ())
            },
            table.get("superseded_all", 0),
            {
                (step, index): number
                for step, index, number in table.get("superseded", ())
            },
            tuple(tuple(run) for run in table.get("ends", ())),
            table.get("has_begun", False),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed(error) from error


def _encode_set(indices: frozenset[int]) -> str:
    """Returns a set of indices as a bitmap in Base64."""
    bitmap = sum(1 << index for index in indices)
    length = (bitmap.bit_length() + 7) // 8
    return base64.b64encode(bitmap.to_bytes(length, "little")).decode()


def _decode_set(text: str) -> frozenset[int]:
    """Returns the set of indices in a bitmap in Base64."""
    bitmap = int.from_bytes(base64.b64decode(text), "little")
    return frozenset(n for n in range(bitmap.bit_length()) if bitmap >> n & 1)


def _malformed(error: Exception) -> RecordError:
    return RecordError(
        f"malformed record of a kept job: {error!r}",
        "use the same release of egretthread in all entries",
    )
