"""The entry's reading and writing of the platform's log."""

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
    message,
)
from egretthread.blackboard import EntryBoard
from egretthread.settings import EntrySettings

# The configuration and the members.
STREAMS = 2
# A long poll ends after this time, so that the log's end is known afresh.
POLL_S = 0.5
# Wait after a read that failed.
RETRY_S = 0.25
PROPOSE_S = 0.5
# The configuration and the members are written again this often, so that
# the log's limited retention does not lose them.
REWRITE_S = 1800.0

LOG_ERRORS = (
    logclient.LogUnavailableError,
    logclient.AnswerLostError,
    logclient.AppendConflictError,
    logclient.AppendUnresolvedError,
)


class LogFeed:
    """Follows the configuration and the members; appends proposals.

    Attributes:
        settings: The entry's settings.
        board: The entry's blackboard.
        after: Called after the blackboard has changed.
        log: Client of the log service.
        config: The configuration as read so far.
        members_next: Offset of the next members record to read.
        read_s: Monotonic time of the last read of each stream's end.
    """

    def __init__(
        self,
        settings: EntrySettings,
        board: EntryBoard,
        after: Callable[[], None],
    ):
        self.settings = settings
        self.board = board
        self.after = after
        self.log = logclient.LogClient(settings.log_url)
        self.config = configfeed.ConfigFeed()
        self.members_next = 0
        self.members_caught_up = False
        self.read_s: dict[str, float] = {}
        self.rewritten_s = clock.monotonic_s()
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begins to follow the log."""
        loop = asyncio.get_running_loop()
        for follow in (self._follow_config, self._follow_members, self._write):
            self.tasks.append(loop.create_task(follow()))

    async def close(self) -> None:
        """Stops following the log and takes this entry off the list."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self._sign_off()
        self.log.close()

    async def _sign_off(self) -> None:
        record = members.entry_down_record(self._member())
        try:
            await self.log.append(self.settings.members_stream, record)
        except (*LOG_ERRORS, logclient.OffsetExpiredError) as error:
            logs.warning("sign_off_failed", error=str(error))

    def _member(self) -> members.EntryMember:
        node = self.board.node
        return members.EntryMember(
            message.node_name(node),
            message.node_incarnation(node),
            self.board.address,
        )

    def _turn(self) -> None:
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
        self._turn()
        for record in batch.records:
            if self.config.apply(record.offset, record.data):
                logs.info("configuration_in_force", offset=record.offset)
        entry.on_configuration(
            self.board, self.config.offset, self.config.configuration
        )
        if self.config.next_offset >= batch.end:
            self._note_read(self.settings.config_stream, sent_s)
        self.after()

    def _note_read(self, stream: str, sent_s: float) -> None:
        """Notes that one stream was read to its end.

        The lease rests on both streams: an entry that lags behind on the
        members would register jobs with witnesses that were replaced.
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
        self._turn()
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
            self._note_read(self.settings.members_stream, sent_s)
        if batch.records:
            self.after()

    async def _write(self) -> None:
        """Announces this entry and appends what the engine proposes."""
        while True:
            await asyncio.sleep(PROPOSE_S)
            record = self._next_record()
            if record:
                await self._append_members(record)
            await self._rewrite_config()

    def _next_record(self) -> str:
        if not self.members_caught_up:
            return ""
        own = self._member()
        if self.board.membership.entries.get(own.name) != own:
            return members.entry_up_record(own)
        if self._rewrite_is_due() and not self.board.proposal:
            return members.snapshot_record(self.board.membership)
        return self.board.proposal

    def _rewrite_is_due(self) -> bool:
        return clock.monotonic_s() - self.rewritten_s >= REWRITE_S

    async def _append_members(self, record: str) -> None:
        """Appends a record unless others have appended since.

        A lost answer needs no care: the stream is read on, and what is
        still due is proposed anew.
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
        """Writes the configuration again before the log forgets it."""
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
