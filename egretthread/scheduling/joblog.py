"""The log of kept jobs in the store and the group that coordinates it."""

import asyncio
import dataclasses

from egretthread import clock, logs
from egretthread.scheduling import jobrecord, keptjobs, leaserule
from egretthread.scheduling.caller import Caller
from egretthread.scheduling.entryserver import EntryServer
from egretthread.scheduling.jobrecord import (
    Cancellation,
    JobState,
    Progress,
    Submission,
)
from egretthread.scheduling.jobspec import Route
from egretthread.scheduling.keptboard import (
    UNKNOWN_EPOCH,
    Handover,
    Partition,
    ProgressBatch,
)
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.storecall import (
    Appended,
    AppendOrderError,
    FencedError,
    HistoryGoneError,
    JobStore,
    Record,
    StoreError,
    StoreRefusedError,
    StoreUnavailableError,
    Writer,
    retry_delay_s,
)

# Topic of submissions and cancellations by job, which the coordinator of a
# partition reads.
JOBS = "jobs"
# Topic of progress by job, which only the coordinator of a partition writes.
PROGRESS = "progress"
GROUP = "coordinators"
# A coordinator stops this much earlier than the store may reassign a partition.
TTL_MARGIN_S = 0.2
# Time without a call to join after which the store assigns the partitions of a
# coordinator to others. Some calls may be lost or slow, so it spans several of
# them; on the other hand a job waits that long when its coordinator is lost.
TTL_S = leaserule.TENURE_S + TTL_MARGIN_S
# Time between two calls to join, which renew the assignment.
JOIN_INTERVAL_S = 0.6
# Delay before an append or a call to join is repeated after a failure.
RETRY_S = 0.1
# Share of the store's write rate that the job logs of all entries may use.
WRITE_SHARE = 0.7
# Maximum number of records of a partition that wait to be appended.
MAX_PENDING = 2000
# Time between two looks for partitions that can be handed over.
HANDOVER_INTERVAL_S = 0.05
# Part of the time that a caller waits, reserved for sending the response.
RESPONSE_MARGIN_S = 0.1
# Maximum number of records of progress that are searched for coordinators.
MAX_CHECKED = 500
# Maximum number of records in one append.
MAX_APPEND_RECORDS = 200


@dataclasses.dataclass
class _PendingRecord:
    """A record that waits to be appended.

    Attributes:
        record: The record.
        stored: Future that is resolved once the record is stored.
        may_be_stored: Whether an append of it was not answered.
    """

    record: Record
    stored: asyncio.Future
    may_be_stored: bool = False


class JobLog:
    """Appends submissions and coordinates the partitions assigned here.

    Attributes:
        store: The store.
        server: The entry.
        partition_count: Number of partitions of the log.
        writes_per_s: Write rate that the store accepts from all processes.
        generation: Last generation of the group that the store has returned.
        pending: Records to be appended, by partition.
        open_writes: Futures of the records that are not stored yet.
        appending: Partitions with an append in progress.
        writing: Partitions whose progress is being written.
        tasks: Background tasks, which are cancelled when the log is closed.
        join_task: The background task that keeps the membership in the group.
    """

    def __init__(
        self, settings: NodeSettings, store: JobStore, server: EntryServer
    ):
        self.store = store
        self.server = server
        self.partition_count = settings.store_parts
        self.writes_per_s = settings.store_writes_per_s
        self.generation = 0
        self.pending: dict[int, list[_PendingRecord]] = {}
        self.open_writes: set[asyncio.Future] = set()
        self.appending: set[int] = set()
        self.writing: set[int] = set()
        self.tasks: set[asyncio.Task] = set()
        self.join_task: asyncio.Task | None = None
        server.board.kept.partition_count = self.partition_count

    def start(self) -> None:
        """Starts the background tasks."""
        self.join_task = self._spawn(self._join_loop())
        self._spawn(self._write_loop())
        self._spawn(self._handover_loop())

    async def close(self) -> None:
        """Cancels the background tasks and waits for their end."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    async def leave_group(self) -> None:
        """Releases all partitions and leaves the group."""
        if self.join_task:
            self.join_task.cancel()
        for partition in tuple(self.server.board.kept.partitions.values()):
            self.server.release_partition(partition, "shutdown")
        try:
            await self.store.leave(GROUP, self.server.board.node)
        except StoreUnavailableError as error:
            logs.info("group_not_left", error=error.message)

    def give_up(self) -> None:
        """Fails the writes that are not stored, as the entry exits."""
        for pending in self.open_writes:
            error = StoreUnavailableError(
                "the entry is shutting down", "repeat the request"
            )
            _fail(pending, error)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_ended)
        return task

    def _on_ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            logs.error("job_log_failed", error=repr(task.exception()))

    async def submit(self, submission: Submission, caller: Caller) -> None:
        """Stores a submission and returns once it is stored.

        Args:
            submission: The submission.
            caller: The caller that waits for it.

        Raises:
            StoreRefusedError: The submission is not stored and will not be.
            StoreUnavailableError: It may be stored, or may be later.
            TimeoutError: The same.
        """
        value = jobrecord.encode_submission(submission)
        await self._append(Record(submission.spec.job, value), caller)

    async def cancel(self, job: str, route: Route, caller: Caller) -> None:
        """Stores a cancellation of a job and returns once it is stored.

        The job may be unknown: its submission may be stored later, by another
        entry or by an append that was not answered, and is cancelled then.

        Args:
            job: Id of the job.
            route: The route on which its cancellation was requested.
            caller: The caller that waits for it.

        Raises:
            StoreRefusedError: The cancellation is not stored and will not be.
            StoreUnavailableError: It may be stored, or may be later.
            TimeoutError: The same.
        """
        value = jobrecord.encode_cancellation(
            Cancellation(clock.unix_s(), route.name, jobrecord.path_of(route))
        )
        record = Record(job + jobrecord.CANCEL_SUFFIX, value)
        await self._append(record, caller)

    async def state(self, job: str) -> str:
        """Returns the state of a job; empty when there is no such job.

        Only the store tells that there is none: its coordinator may not have
        read the submission yet.

        Raises:
            StoreUnavailableError: The store did not answer or refused.
        """
        state = await self.server.job_state(job)
        if state:
            return state
        partition = jobrecord.partition_of(job, self.partition_count)
        value = await self.store.find(PROGRESS, partition, job)
        if value is not None:
            return jobrecord.decode_progress(value).state.value
        if await self.store.find(JOBS, partition, job) is not None:
            return JobState.QUEUED.value
        return ""

    async def _append(self, record: Record, caller: Caller) -> None:
        """Queues a record to be appended and returns once it is stored."""
        left_s = caller.left_s(clock.monotonic_s()) - RESPONSE_MARGIN_S
        if left_s <= 0 or caller.has_left():
            raise StoreRefusedError(
                "the caller no longer waits",
                "repeat the request, with a longer wait limit",
            )
        job = record.key.removesuffix(jobrecord.CANCEL_SUFFIX)
        partition = jobrecord.partition_of(job, self.partition_count)
        queue = self.pending.setdefault(partition, [])
        if len(queue) >= MAX_PENDING:
            raise StoreRefusedError(
                f"{len(queue)} records are queued for partition {partition}",
                "submit the job again later",
            )
        stored = asyncio.get_running_loop().create_future()
        self.open_writes.add(stored)
        stored.add_done_callback(self.open_writes.discard)
        queue.append(_PendingRecord(record, stored))
        if partition not in self.appending:
            self.appending.add(partition)
            self._spawn(self._append_loop(partition))
        async with asyncio.timeout(left_s):
            await stored

    async def _append_loop(self, partition: int) -> None:
        """Appends the pending records of a partition in batches."""
        queue = self.pending[partition]
        while queue:
            batch, queue[:] = (
                queue[:MAX_APPEND_RECORDS],
                queue[MAX_APPEND_RECORDS:],
            )
            wanted = [p for p in batch if not p.stored.cancelled()]
            if wanted:
                await self._append_batch(partition, wanted)
                await asyncio.sleep(self._append_interval_s() if queue else 0.0)
        self.appending.discard(partition)

    async def _append_batch(
        self, partition: int, batch: list[_PendingRecord]
    ) -> None:
        """Appends a batch; queues it again when it may or may not be stored."""
        try:
            await self.store.append(
                JOBS, partition, [pending.record for pending in batch]
            )
        except StoreUnavailableError as error:
            logs.warning("jobs_not_stored", part=partition, error=error.message)
            was_refused = isinstance(error, StoreRefusedError)
            for pending in batch:
                if was_refused and not pending.may_be_stored:
                    _fail(pending.stored, error)
                    continue
                # Appending the same record twice is harmless.
                pending.may_be_stored = True
                self.pending[partition].append(pending)
            await asyncio.sleep(RETRY_S)
            return
        for pending in batch:
            if not pending.stored.done():
                pending.stored.set_result(None)

    def _append_interval_s(self) -> float:
        """Returns the time between two appends to a partition.

        It limits the write rate to the share of the job logs: each entry
        appends to every partition, and one entry writes its progress.
        """
        writers = len(self.server.board.entries) + 1
        return (
            writers * self.partition_count / (WRITE_SHARE * self.writes_per_s)
        )

    async def _join_loop(self) -> None:
        """Keeps the membership in the group and applies the assignments."""
        is_lost = False
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
                if not is_lost:
                    logs.warning("group_lost", error=error.message)
                is_lost = True
                await asyncio.sleep(RETRY_S)
                continue
            if is_lost:
                logs.info("group_regained", generation=assignment.generation)
            is_lost = False
            self.generation = assignment.generation
            new_partitions = self.server.assign_partitions(
                assignment.generation,
                assignment.partitions,
                sent_s + leaserule.TENURE_S,
            )
            for partition in new_partitions:
                self._spawn(self._hold(partition))
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def _hold(self, partition: Partition) -> None:
        """Coordinates a partition; an error releases it to be taken anew."""
        try:
            await self._coordinate(partition)
        finally:
            self.server.release_partition(partition, "no longer coordinated")

    async def _coordinate(self, partition: Partition) -> None:
        """Loads the jobs of a partition, then follows new records."""
        failures = 0
        offset = None
        while self.server.is_coordinator(partition):
            try:
                if offset is None:
                    offset = await self._load(partition)
                else:
                    await self._delete_cancellations(partition)
                    offset = await self._follow(
                        partition, offset, may_wait=not failures
                    )
            except FencedError as error:
                self.server.release_partition(partition, error.message)
                return
            except HistoryGoneError:
                logs.info(
                    "job_records_deleted",
                    part=partition.number,
                    offset=offset,
                )
                offset = None
            except (StoreUnavailableError, AppendOrderError) as error:
                logs.info("jobs_not_read", part=partition.number, error=error)
                failures += 1
                await asyncio.sleep(retry_delay_s(failures, error))
                continue
            failures = 0

    async def _load(self, partition: Partition) -> int:
        """Loads the newest records; returns the offset to follow from."""
        if not partition.is_loaded:
            # This append makes the store fence off all earlier coordinators,
            # and what this one has sent before it lost the partition. Each
            # attempt has an epoch of its own: an earlier one may be applied
            # late.
            await self._take_over(partition)
        progress = await self.store.newest(PROGRESS, partition.number)
        partition.progress_end = max(partition.progress_end, progress.end)
        sent_s = clock.monotonic_s()
        batch = await self.store.newest(JOBS, partition.number)
        self.server.load_partition(
            partition,
            [
                s
                for s in map(_decode_submission, batch.records)
                if s is not None
            ],
            dict(filter(None, map(_decode_progress, progress.records))),
        )
        self._apply_cancellations(partition, batch.records)
        self.server.record_read(partition, sent_s)
        self._apply_handovers(partition, batch.records)
        return batch.end

    async def _take_over(self, partition: Partition) -> None:
        """Begins an epoch as coordinator; finds the coordinator before."""
        number = partition.number
        partition.first_epoch = partition.former_epoch = UNKNOWN_EPOCH
        value, end = await self.store.find_newest(
            PROGRESS, number, jobrecord.COORDINATOR_KEY
        )
        former_epoch = _decode_epoch(value)
        if former_epoch != UNKNOWN_EPOCH:
            try:
                # Coordinators of earlier releases do not write their names.
                await self.store.append(
                    PROGRESS, number, (), Writer(former_epoch, 0)
                )
            except FencedError:
                former_epoch = UNKNOWN_EPOCH
            except AppendOrderError:
                pass
        self.server.begin_epoch(partition)
        epoch = partition.epoch
        record = Record(
            jobrecord.COORDINATOR_KEY, jobrecord.encode_coordinator(epoch)
        )
        appended = await self.store.append(
            PROGRESS, number, [record], Writer(epoch, 0)
        )
        partition.first_epoch = epoch
        if former_epoch == UNKNOWN_EPOCH or appended.end - end > MAX_CHECKED:
            return
        between = await self.store.read(PROGRESS, end, 0.0, number)
        if between.end >= appended.end and not any(
            each.key == jobrecord.COORDINATOR_KEY
            for each in between.records[: appended.first - end]
        ):
            partition.former_epoch = former_epoch

    async def _follow(
        self, partition: Partition, offset: int, may_wait: bool
    ) -> int:
        """Applies new records; returns the offset to follow from.

        Args:
            partition: The partition.
            offset: Offset of the next record to read.
            may_wait: Whether to wait for a record if there is none yet.
        """
        sent_s = clock.monotonic_s()
        wait_s = keptjobs.read_wait_s(partition, sent_s) if may_wait else 0.0
        batch = await self.store.read(JOBS, offset, wait_s, partition.number)
        for record in batch.records:
            submission = _decode_submission(record)
            if submission is not None:
                self.server.add_submission(partition, submission)
        self._apply_cancellations(partition, batch.records)
        if not batch.has_more:
            self.server.record_read(partition, sent_s)
        self._apply_handovers(partition, batch.records)
        return batch.end

    def _apply_cancellations(
        self, partition: Partition, records: tuple[Record, ...]
    ) -> None:
        """Applies the cancellations among some records."""
        for record in records:
            is_cancellation = (
                record.key.endswith(jobrecord.CANCEL_SUFFIX)
                and record.key != jobrecord.HANDOVER_KEY
            )
            if not record.value or not is_cancellation:
                continue
            try:
                cancellation = jobrecord.decode_cancellation(record.value)
            except jobrecord.RecordError as error:
                logs.error(
                    "cancellation_malformed", key=record.key, error=error
                )
                continue
            job = record.key.removesuffix(jobrecord.CANCEL_SUFFIX)
            self.server.apply_cancellation(partition, job, cancellation)

    def _apply_handovers(
        self, partition: Partition, records: tuple[Record, ...]
    ) -> None:
        """Applies the handovers among some records."""
        for record in records:
            if record.key == jobrecord.HANDOVER_KEY:
                epoch = _decode_epoch(record.value)
                self.server.apply_handover(partition, epoch)

    async def _handover_loop(self) -> None:
        """Tells the next coordinators of partitions that no run goes on."""
        while True:
            await asyncio.sleep(HANDOVER_INTERVAL_S)
            if not self.server.board.kept.handovers:
                continue
            for handover in self.server.take_handovers():
                self._spawn(self._hand_over(handover))

    async def _hand_over(self, handover: Handover) -> None:
        """Stores a handover, with retries while it is of use."""
        record = Record(
            jobrecord.HANDOVER_KEY, jobrecord.encode_handover(handover.epoch)
        )
        end_s = handover.released_s + keptjobs.HANDOVER_S
        while clock.monotonic_s() < end_s:
            try:
                await self.store.append(JOBS, handover.number, [record])
            except StoreUnavailableError as error:
                logs.info(
                    "handover_not_stored", part=handover.number, error=error
                )
                await asyncio.sleep(RETRY_S)
            else:
                return

    async def _delete_cancellations(self, partition: Partition) -> None:
        """Deletes cancellations of unknown jobs that are out of date."""
        outdated = self.server.outdated_cancellations(partition)
        ids = outdated[:MAX_APPEND_RECORDS]
        if ids:
            keys = [job + jobrecord.CANCEL_SUFFIX for job in ids]
            await self.store.append(
                JOBS, partition.number, [Record(key, None) for key in keys]
            )
        for job in ids:
            partition.cancelled.pop(job, None)

    async def _write_loop(self) -> None:
        """Writes new progress, one batch per partition at a time."""
        while True:
            await self.server.has_progress.wait()
            self.server.has_progress.clear()
            for number in tuple(self.server.board.kept.dirty - self.writing):
                self.writing.add(number)
                self._spawn(self._write_partition(number))

    async def _write_partition(self, number: int) -> None:
        """Writes the progress of a partition until there is no more."""
        while (batch := self.server.take_batch(number)) is not None:
            await self._write(batch)
            await asyncio.sleep(self._append_interval_s())
        self.writing.discard(number)

    async def _write(self, batch: ProgressBatch) -> None:
        """Writes a batch, with retries, unless the partition is released."""
        partition = self.server.board.kept.partitions[batch.partition]
        dropped_ids = [
            j for j, value in batch.progress.items() if value is None
        ]
        records = [
            Record(job, value and jobrecord.encode_progress(value))
            for job, value in batch.progress.items()
        ]
        while self.server.is_coordinator(partition):
            writer = Writer(partition.epoch, partition.last_append + 1)
            try:
                if dropped_ids:
                    # The submissions are deleted first. Without its progress a
                    # job that has ended would look like a new one.
                    await self.store.append(
                        JOBS, batch.partition, _deletions(dropped_ids)
                    )
                    dropped_ids = []
                appended = await self.store.append(
                    PROGRESS, batch.partition, records, writer
                )
            except FencedError as error:
                self.server.release_partition(partition, error.message)
                return
            except AppendOrderError as error:
                logs.warning(
                    "progress_out_of_order",
                    part=batch.partition,
                    sent=writer.number,
                    expected=error.expected,
                )
            except StoreUnavailableError as error:
                logs.info(
                    "progress_not_written",
                    part=batch.partition,
                    jobs=len(records),
                    error=error,
                )
                await asyncio.sleep(RETRY_S)
                continue
            else:
                partition.last_append = writer.number
                if _is_stored(appended, len(records), partition):
                    partition.progress_end = appended.end
                    self.server.on_written(batch)
                    return
                logs.error(
                    "progress_answer_repeated",
                    part=batch.partition,
                    number=writer.number,
                    first=appended.first,
                    expected=partition.progress_end,
                )
            # A new epoch may begin with any number, and nothing that was sent
            # before is applied in it.
            await asyncio.sleep(RETRY_S)
            self.server.begin_epoch(partition)
            batch = dataclasses.replace(batch, epoch=partition.epoch)


def _fail(future: asyncio.Future, error: Exception) -> None:
    """Sets the exception of a future unless it is done or cancelled."""
    if not future.done():
        future.set_exception(error)


def _is_stored(appended: Appended, count: int, partition: Partition) -> bool:
    """Whether an answer is to an append of new records of a partition.

    The store answers an append that it takes for a repeated one like the first
    one, and stores nothing.

    Args:
        appended: The answer.
        count: Number of records that were sent.
        partition: The partition, before the append.
    """
    return (
        appended.first >= partition.progress_end
        and appended.end == appended.first + count
    )


def _decode_submission(record: Record) -> Submission | None:
    """Returns the submission in a record; None for other or malformed ones."""
    if not record.value or record.key.endswith(jobrecord.CANCEL_SUFFIX):
        return None
    try:
        return jobrecord.decode_submission(record.value)
    except jobrecord.RecordError as error:
        logs.error("submission_malformed", key=record.key, error=error)
        return None


def _decode_progress(record: Record) -> tuple[str, Progress] | None:
    """Returns the job id and progress in a record, or None."""
    if not record.value or record.key == jobrecord.COORDINATOR_KEY:
        return None
    try:
        return record.key, jobrecord.decode_progress(record.value)
    except jobrecord.RecordError as error:
        logs.error("progress_malformed", key=record.key, error=error)
        return None


def _decode_epoch(value: bytes | None) -> int:
    """Returns the epoch in a record; UNKNOWN_EPOCH if there is none."""
    if not value:
        return UNKNOWN_EPOCH
    try:
        return jobrecord.decode_epoch(value)
    except jobrecord.RecordError as error:
        logs.error("coordinator_malformed", error=error)
        return UNKNOWN_EPOCH


def _deletions(ids: list[str]) -> list[Record]:
    """Returns the records that delete jobs and their cancellations."""
    keys = [key for job in ids for key in (job, job + jobrecord.CANCEL_SUFFIX)]
    return [Record(key, None) for key in keys]
