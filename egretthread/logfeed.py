"""Follows and updates the configuration and members streams for an entry."""

import asyncio
from collections.abc import Callable

from egretthread import (
    clock,
    configfeed,
    configtext,
    entry,
    logclient,
    logs,
    members,
    nodeid,
)
from egretthread.blackboard import EntryBoard
from egretthread.settings import EntrySettings

# Number of streams that an entry follows: configuration and members.
STREAMS = 2
# Wait of a long poll. It is short because the lease depends on how recently
# the streams were read to their end.
POLL_S = 0.5
# Backoff after a failed read.
RETRY_S = 0.25
PROPOSE_S = 0.5
# Interval at which the configuration and the members are appended again, so
# that the log's limited retention does not delete them.
REWRITE_S = 1800.0

LOG_ERRORS = (
    logclient.LogUnavailableError,
    logclient.AnswerLostError,
    logclient.AppendConflictError,
    logclient.AppendUnresolvedError,
)


class LogFeed:
    """Follows the configuration and the members, and appends proposals.

    Attributes:
        settings: The entry's settings.
        board: The entry's blackboard.
        on_change: Called after the blackboard has changed.
        log: Client of the log service.
        config: The configuration stream as read so far.
        members_next: Offset of the next members record to read.
        members_caught_up: Whether the members were read to the stream's end.
        read_s: Monotonic time at which each stream was last read to its end.
        rewritten_s: Monotonic time of the last rewrite of the configuration.
    """

    def __init__(
        self,
        settings: EntrySettings,
        board: EntryBoard,
        on_change: Callable[[], None],
    ):
        self.settings = settings
        self.board = board
        self.on_change = on_change
        self.log = logclient.LogClient(settings.log_url)
        self.config = configfeed.ConfigFeed()
        self.members_next = 0
        self.members_caught_up = False
        self.read_s: dict[str, float] = {}
        self.rewritten_s = clock.monotonic_s()
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts following the log."""
        loop = asyncio.get_running_loop()
        for follow in (self._follow_config, self._follow_members, self._write):
            self.tasks.append(loop.create_task(follow()))

    async def close(self) -> None:
        """Stops following the log and removes this entry from the members."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self._deregister()
        self.log.close()

    async def _deregister(self) -> None:
        record = members.entry_down_record(self._own_member())
        try:
            await self.log.append(self.settings.members_stream, record)
        except (*LOG_ERRORS, logclient.OffsetExpiredError) as error:
            logs.warning("deregistration_failed", error=str(error))

    def _own_member(self) -> members.EntryMember:
        node = self.board.node
        return members.EntryMember(
            nodeid.node_name(node),
            nodeid.node_incarnation(node),
            self.board.address,
        )

    def _update_time(self) -> None:
        entry.set_time(self.board, clock.monotonic_s(), clock.unix_s())

    async def _follow_config(self) -> None:
        while True:
            sent_s = clock.monotonic_s()
            try:
                batch = await self.log.read(
                    self.settings.config_stream,
                    self.config.next_offset,
                    POLL_S,
                )
            except logclient.OffsetExpiredError as error:
                self.config.resume_at(error.first)
                continue
            except logclient.LogUnavailableError as error:
                logs.debug("log_read_failed", error=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            self._apply_config(batch, sent_s)

    def _apply_config(self, batch: logclient.LogBatch, sent_s: float) -> None:
        self._update_time()
        for record in batch.records:
            if self.config.apply(record.offset, record.data):
                logs.info("configuration_in_force", offset=record.offset)
        entry.on_configuration(
            self.board, self.config.offset, self.config.configuration
        )
        if self.config.next_offset >= batch.end:
            self._record_read(self.settings.config_stream, sent_s)
        self.on_change()

    def _record_read(self, stream: str, sent_s: float) -> None:
        """Records that one stream was read to its end.

        The lease requires recent reads of both streams. An entry that lagged
        behind on the members would register jobs with witnesses that have
        been replaced.
        """
        self.read_s[stream] = sent_s
        if len(self.read_s) == STREAMS:
            entry.on_log_read(self.board, min(self.read_s.values()))

    async def _follow_members(self) -> None:
        while True:
            sent_s = clock.monotonic_s()
            try:
                batch = await self.log.read(
                    self.settings.members_stream, self.members_next, POLL_S
                )
            except logclient.OffsetExpiredError as error:
                self.members_next = error.first
                continue
            except logclient.LogUnavailableError:
                await asyncio.sleep(RETRY_S)
                continue
            self._apply_members(batch, sent_s)

    def _apply_members(self, batch: logclient.LogBatch, sent_s: float) -> None:
        self._update_time()
        for record in batch.records:
            try:
                entry.on_members_record(self.board, record.offset, record.data)
            except (ValueError, KeyError, TypeError) as error:
                logs.error(
                    "members_record_skipped",
                    offset=record.offset,
                    error=repr(error),
                )
            self.members_next = record.offset + 1
        self.members_caught_up = self.members_next >= batch.end
        if self.members_caught_up:
            self._record_read(self.settings.members_stream, sent_s)
        if batch.records:
            self.on_change()

    async def _write(self) -> None:
        """Registers this entry and appends the engine's proposals."""
        while True:
            await asyncio.sleep(PROPOSE_S)
            record = self._next_record()
            if record:
                await self._append_members(record)
            await self._rewrite_config()

    def _next_record(self) -> str:
        if not self.members_caught_up:
            return ""
        own_member = self._own_member()
        if self.board.membership.entries.get(own_member.name) != own_member:
            return members.entry_up_record(own_member)
        if self._rewrite_is_due() and not self.board.proposal:
            return members.snapshot_record(self.board.membership)
        return self.board.proposal

    def _rewrite_is_due(self) -> bool:
        return clock.monotonic_s() - self.rewritten_s >= REWRITE_S

    async def _append_members(self, record: str) -> None:
        """Appends a record unless another was appended since the last read.

        A lost response needs no handling: the stream is followed anyway, and
        the engine repeats a proposal that has not taken effect.
        """
        self.board.proposal = ""
        try:
            await self.log.append(
                self.settings.members_stream, record, self.members_next
            )
        except LOG_ERRORS as error:
            logs.info("members_append_failed", error=str(error))
            return
        logs.info("members_appended", record=record[:200])

    async def _rewrite_config(self) -> None:
        """Appends the configuration again before its retention ends."""
        if not self._rewrite_is_due() or self.config.offset < 0:
            return
        self.rewritten_s = clock.monotonic_s()
        if self.config.next_offset != self.config.offset + 1:
            return
        try:
            await self.log.append_resolving(
                self.settings.config_stream,
                configtext.dumps(self.config.configuration),
                f"{self.config.author} (kept by {self.settings.name})",
                self.config.next_offset,
            )
        except LOG_ERRORS as error:
            logs.info("configuration_rewrite_failed", error=str(error))
