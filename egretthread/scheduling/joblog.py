"""The log of kept jobs on the store, and the group that coordinates them."""

import asyncio
import dataclasses

from egretthread import clock, logs
from egretthread.scheduling import jobrecord
from egretthread.scheduling.entryserver import EntryServer
from egretthread.scheduling.jobrecord import JobState, Progress, Submission
from egretthread.scheduling.keptboard import Partition, ProgressBatch
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.storecall import (
    AppendOrderError,
    FencedError,
    HistoryGoneError,
    JobStore,
    Record,
    StoreError,
    StoreRefusedError,
    StoreUnavailableError,
    Writer,
)

# Submissions and cancellations, by job; read by the partition's coordinator.
JOBS = "jobs"
# Progress, by job; written by the partition's coordinator alone.
PROGRESS = "progress"
GROUP = "coordinators"
# Silence after which the store assigns a coordinator's partitions to others,
# and time between two calls that prevent it, in seconds. Some calls may be
# lost or slow, and a job waits that long when its coordinator is lost.
TTL_S = 2.5
JOIN_S = 0.6
# The coordinator stops this much earlier than the store may go on.
TTL_MARGIN_S = 0.2
# Long poll of a partition's submissions, in seconds.
WAIT_S = 3.0
# Pause after a failed call; doubles up to the longest.
RETRY_S = 0.1
LONGEST_RETRY_S = 1.0
# Share of the store's writes that job logs may take in all.
WRITE_SHARE = 0.7
# Submissions that may wait for an append here, and in one append.
MAX_WAITING = 2000
MAX_APPENDED = 200


@dataclasses.dataclass
class _Waiting:
    """A record that waits to be appended.

    Attributes:
        entry: The record.
        stored: Set once it is on the store.
        may_be_stored: Whether an append of it got no answer.
    """

    entry: Record
    stored: asyncio.Future
    may_be_stored: bool = False


class JobLog:
    """Appends submissions, and coordinates the partitions assigned here.

    Attributes:
        store: The store.
        server: The entry.
        count: Partitions of the log.
        writes_per_s: Writes that the store takes from all processes.
        generation: Generation of the group last heard of.
        waiting: Records to be appended, by partition.
        appending: Partitions that an append is under way to.
        writing: Partitions whose progress is being written.
        numbers: Number of the last append of progress, by partition.
        tasks: Tasks that end with the log.
        joining: The one that stays in the group.
    """

    def __init__(
        self, settings: NodeSettings, store: JobStore, server: EntryServer
    ):
        self.store = store
        self.server = server
        self.count = settings.store_parts
        self.writes_per_s = settings.store_writes_per_s
        self.generation = 0
        self.waiting: dict[int, list[_Waiting]] = {}
        self.appending: set[int] = set()
        self.writing: set[int] = set()
        self.numbers: dict[int, int] = {}
        self.tasks: set[asyncio.Task] = set()
        self.joining: asyncio.Task | None = None
        server.board.kept.partition_count = self.count

    def start(self) -> None:
        """Begins to coordinate."""
        self.joining = self._spawn(self._join_loop())
        self._spawn(self._write_loop())

    async def close(self) -> None:
        """Ends everything."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def leave_group(self) -> None:
        """Leaves the partitions to other entries."""
        if self.joining:
            self.joining.cancel()
        for part in tuple(self.server.board.kept.partitions.values()):
            self.server.release_part(part, "shutdown")
        try:
            await self.store.leave(GROUP, self.server.board.node)
        except StoreUnavailableError as error:
            logs.info("group_not_left", error=error.message)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_ended)
        return task

    def _on_ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logs.error("job_log_failed", error=repr(task.exception()))

    # What callers ask for.

    async def submit(self, submission: Submission) -> None:
        """Returns once a job is on the store.

        Raises:
            StoreRefusedError: It is not, and will not be.
        """
        value = jobrecord.encode_submission(submission)
        await self._append(Record(submission.spec.job, value))

    async def cancel(self, job: str) -> None:
        """Returns once a job's cancellation is on the store.

        Raises:
            StoreRefusedError: It is not, and will not be.
        """
        await self._append(Record(job + jobrecord.CANCEL_SUFFIX, b"1"))

    async def state(self, job: str) -> str:
        """Returns the state of a job as the store has it; empty for none.

        Raises:
            StoreUnavailableError: The store gave no answer or refused.
        """
        part = jobrecord.partition_of(job, self.count)
        value = await self.store.find(PROGRESS, part, job)
        if value is not None:
            return jobrecord.decode_progress(value).state.value
        if await self.store.find(JOBS, part, job) is not None:
            return JobState.QUEUED.value
        return ""

    async def _append(self, entry: Record) -> None:
        job = entry.key.removesuffix(jobrecord.CANCEL_SUFFIX)
        part = jobrecord.partition_of(job, self.count)
        queue = self.waiting.setdefault(part, [])
        if len(queue) >= MAX_WAITING:
            raise StoreRefusedError(
                f"{len(queue)} records wait for partition {part}",
                "submit again later",
            )
        stored = asyncio.get_running_loop().create_future()
        queue.append(_Waiting(entry, stored))
        if part not in self.appending:
            self.appending.add(part)
            self._spawn(self._append_loop(part))
        await stored

    async def _append_loop(self, part: int) -> None:
        """Appends what waits for a partition, as much as fits at a time."""
        queue = self.waiting[part]
        while queue:
            batch, queue[:] = queue[:MAX_APPENDED], queue[MAX_APPENDED:]
            left = [item for item in batch if not item.stored.cancelled()]
            if left:
                await self._append_batch(part, left)
                await asyncio.sleep(self._pace_s() if queue else 0.0)
        self.appending.discard(part)

    async def _append_batch(self, part: int, batch: list[_Waiting]) -> None:
        try:
            await self.store.append(JOBS, part, [item.entry for item in batch])
        except StoreUnavailableError as error:
            logs.warning("jobs_not_stored", part=part, error=error.message)
            was_refused = isinstance(error, StoreRefusedError)
            for item in batch:
                if was_refused and not item.may_be_stored:
                    _fail(item.stored, error)
                    continue
                # The same record again changes nothing if it is there.
                item.may_be_stored = True
                self.waiting[part].append(item)
            await asyncio.sleep(RETRY_S)
            return
        for item in batch:
            if not item.stored.done():
                item.stored.set_result(None)

    def _pace_s(self) -> float:
        """Returns the time between two appends to a partition.

        Each entry appends to every partition, and one writes its progress.
        """
        writers = len(self.server.board.entries) + 1
        return writers * self.count / (WRITE_SHARE * self.writes_per_s)

    # Coordinating.

    async def _join_loop(self) -> None:
        lost = False
        while True:
            sent_s = clock.monotonic_s()
            try:
                assignment = await self.store.join(
                    GROUP,
                    self.server.board.node,
                    JOBS,
                    TTL_S,
                    self.generation,
                )
            except StoreError as error:
                if not lost:
                    logs.warning("group_lost", error=error.message)
                lost = True
                await asyncio.sleep(RETRY_S)
                continue
            if lost:
                logs.info("group_regained", generation=assignment.generation)
            lost = False
            self.generation = assignment.generation
            fresh = self.server.take_parts(
                assignment.generation,
                assignment.partitions,
                sent_s + TTL_S - TTL_MARGIN_S,
            )
            for part in fresh:
                self._spawn(self._coordinate(part))
            await asyncio.sleep(JOIN_S)

    async def _coordinate(self, part: Partition) -> None:
        """Reads a partition's jobs, then follows what is submitted."""
        pause_s = RETRY_S
        offset = None
        while self.server.is_coordinator(part):
            try:
                if offset is None:
                    offset = await self._load(part)
                else:
                    offset = await self._follow(part, offset)
            except FencedError as error:
                self.server.release_part(part, error.message)
                return
            except HistoryGoneError:
                logs.info("jobs_history_gone", part=part.number, offset=offset)
                offset = None
            except StoreUnavailableError as error:
                logs.info("jobs_not_read", part=part.number, error=error)
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_RETRY_S, 2 * pause_s)
                continue
            pause_s = RETRY_S

    async def _load(self, part: Partition) -> int:
        """Reads the newest records; returns the offset to go on from."""
        if not part.is_loaded:
            # From here on no earlier coordinator can write.
            await self.store.append(
                PROGRESS, part.number, (), Writer(part.generation, 0)
            )
            self.numbers[part.number] = 0
        progress = await self.store.newest(PROGRESS, part.number)
        batch = await self.store.newest(JOBS, part.number)
        self.server.load_part(
            part,
            [s for s in map(_submission, batch.records) if s is not None],
            dict(filter(None, map(_progress, progress.records))),
        )
        self._take_cancels(part, batch.records)
        return batch.end

    async def _follow(self, part: Partition, offset: int) -> int:
        """Waits for records; returns the offset to go on from."""
        batch = await self.store.read(JOBS, offset, WAIT_S, part.number)
        for entry in batch.records:
            submission = _submission(entry)
            if submission is not None:
                self.server.take_submission(part, submission)
        self._take_cancels(part, batch.records)
        return batch.end

    def _take_cancels(
        self, part: Partition, entries: tuple[Record, ...]
    ) -> None:
        for entry in entries:
            if entry.value and entry.key.endswith(jobrecord.CANCEL_SUFFIX):
                job = entry.key.removesuffix(jobrecord.CANCEL_SUFFIX)
                self.server.take_cancel(part, job)

    async def _write_loop(self) -> None:
        """Writes progress as it comes, one batch a partition at a time."""
        while True:
            await self.server.progress.wait()
            self.server.progress.clear()
            for number in tuple(self.server.board.kept.dirty - self.writing):
                self.writing.add(number)
                self._spawn(self._write_part(number))

    async def _write_part(self, number: int) -> None:
        while (batch := self.server.take_batch(number)) is not None:
            await self._write(batch)
            await asyncio.sleep(self._pace_s())
        self.writing.discard(number)

    async def _write(self, batch: ProgressBatch) -> None:
        writer = Writer(batch.generation, self.numbers[batch.partition] + 1)
        dropped = [j for j, value in batch.progress.items() if value is None]
        entries = [
            Record(job, value and jobrecord.encode_progress(value))
            for job, value in batch.progress.items()
        ]
        part = self.server.board.kept.partitions.get(batch.partition)
        while part is not None and self.server.is_coordinator(part):
            try:
                if dropped:
                    # Before their progress: they must not seem new.
                    await self.store.append(
                        JOBS, batch.partition, _drops(dropped)
                    )
                    dropped = []
                await self.store.append(
                    PROGRESS, batch.partition, entries, writer
                )
            except FencedError as error:
                self.server.release_part(part, error.message)
                return
            except AppendOrderError as error:
                logs.warning("progress_renumbered", expected=error.expected)
                if error.expected != writer.number + 1:
                    writer = Writer(batch.generation, error.expected)
                    continue
                # An earlier try, which got no answer, was carried out.
            except StoreUnavailableError as error:
                logs.info(
                    "progress_not_written",
                    part=batch.partition,
                    jobs=len(entries),
                    error=error,
                )
                await asyncio.sleep(RETRY_S)
                continue
            self.numbers[batch.partition] = writer.number
            self.server.on_written(batch)
            return


def _fail(future: asyncio.Future, error: Exception) -> None:
    if not future.done():
        future.set_exception(error)


def _submission(entry: Record) -> Submission | None:
    """Returns the submission in a record; None for any other record."""
    if not entry.value or entry.key.endswith(jobrecord.CANCEL_SUFFIX):
        return None
    try:
        return jobrecord.decode_submission(entry.value)
    except jobrecord.RecordError as error:
        logs.error("submission_unreadable", key=entry.key, error=error)
        return None


def _progress(entry: Record) -> tuple[str, Progress] | None:
    """Returns the job and progress in a record; None when unreadable."""
    if not entry.value:
        return None
    try:
        return entry.key, jobrecord.decode_progress(entry.value)
    except jobrecord.RecordError as error:
        logs.error("progress_unreadable", key=entry.key, error=error)
        return None


def _drops(ids: list[str]) -> list[Record]:
    """Returns the records that drop jobs and their cancellations."""
    keys = [key for job in ids for key in (job, job + jobrecord.CANCEL_SUFFIX)]
    return [Record(key, None) for key in keys]
