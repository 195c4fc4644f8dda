"""The operators' library: print, edit and publish the configuration.

A record of the configuration stream holds a whole configuration. It is
published with the stream's end that the operator saw, so of two operators
who race one wins and the other learns what changed.
"""

import dataclasses
import getpass
import sys
from collections.abc import Callable
from typing import TextIO

from egretthread import configdiff, configfeed, configtext, util
from egretthread.accesskey import make as make_access_key
from egretthread.config import (
    AccessKey,
    AvailabilityZone,
    Configuration,
    Organisation,
    Service,
)
from egretthread.configedit import (
    UnknownNameError,
    drain_server,
    put_organisation,
    put_service,
    put_zone,
    remove_organisation,
    remove_service,
    remove_zone,
    restore_zone,
    retire_key,
    rotate_key,
    undrain_server,
    withdraw_zone,
)
from egretthread.logclient import (
    PAST_END_OFFSET,
    AppendConflictError,
    AppendUnresolvedError,
    LogClient,
    LogUnavailableError,
    OffsetExpiredError,
)

__all__ = [
    "AccessKey",
    "AppendUnresolvedError",
    "AvailabilityZone",
    "Change",
    "Configuration",
    "ConfigurationExpiredError",
    "ConfigurationRacedError",
    "LogClient",
    "LogUnavailableError",
    "Organisation",
    "Published",
    "Service",
    "UnknownNameError",
    "change",
    "drain_server",
    "fetch",
    "history",
    "make_access_key",
    "print_configuration",
    "publish",
    "put_organisation",
    "put_service",
    "put_zone",
    "remove_organisation",
    "remove_service",
    "remove_zone",
    "restore_zone",
    "retire_key",
    "rotate_key",
    "undrain_server",
    "withdraw_zone",
]

DEFAULT_STREAM = "config"

Edit = Callable[[Configuration], Configuration]


class ConfigurationRacedError(util.EgretthreadError):
    """Another operator published first; nothing was published here.

    Attributes:
        author: Who published last.
        changes: What the others changed, one line each.
    """

    kind = "configuration_raced"

    def __init__(self, author: str, changes: tuple[str, ...]):
        listed = "; ".join(changes) or "nothing that differs"
        super().__init__(
            f"{author} published first and changed: {listed}",
            "fetch the configuration, look at it and repeat the edit",
        )
        self.author = author
        self.changes = changes


class ConfigurationExpiredError(util.EgretthreadError):
    """The stream once held records, but no readable one is left.

    Attributes:
        next_offset: The offset to publish a kept copy under.
    """

    kind = "configuration_expired"

    def __init__(self, stream: str, next_offset: int):
        super().__init__(
            f"stream {stream} holds no readable configuration any more",
            "publish the copy that an entry's state dump shows, with expected"
            f" offset {next_offset}",
        )
        self.next_offset = next_offset


@dataclasses.dataclass(frozen=True)
class Published:
    """The configuration as it stands on the log.

    Attributes:
        offset: Offset of its record; -1 when none was published yet.
        next_offset: The offset that the next one is published under.
        configuration: The configuration.
        author: Who published it.
    """

    offset: int
    next_offset: int
    configuration: Configuration
    author: str = ""


@dataclasses.dataclass(frozen=True)
class Change:
    """One record of the history.

    Attributes:
        offset: The record's offset.
        author: Who published it.
        at_s: When, in Unix seconds.
        changes: What changed against the record before it, one line each;
            None for the oldest one shown.
        fault: Why the system skips this record; empty when it does not.
    """

    offset: int
    author: str
    at_s: float
    changes: tuple[str, ...] | None
    fault: str = ""


def print_configuration(
    configuration: Configuration, file: TextIO | None = None
) -> None:
    """Prints the TOML text that the system accepts.

    Args:
        configuration: What to print.
        file: Where to; standard output if None.

    Raises:
        util.OptionError: It holds faults; the error names them all.
    """
    configtext.check(configuration)
    print(configtext.dumps(configuration), end="", file=file or sys.stdout)


async def fetch(log: LogClient, stream: str = DEFAULT_STREAM) -> Published:
    """Returns the configuration that was published last.

    Raises:
        LogUnavailableError: The log did not answer.
        ConfigurationExpiredError: No readable record is left.
    """
    span = await log.read(stream, PAST_END_OFFSET)
    if span.end == 0:
        return Published(-1, 0, Configuration())
    published = await fetch_below(log, stream, span.first, span.end)
    if published is None:
        raise ConfigurationExpiredError(stream, span.end)
    return published


async def publish(
    log: LogClient,
    stream: str,
    configuration: Configuration,
    expected_offset: int,
    author: str = "",
) -> Published:
    """Publishes a configuration unless another one came first.

    Args:
        log: Client of the log.
        stream: Name of the configuration stream.
        configuration: The whole configuration.
        expected_offset: `next_offset` of what was fetched.
        author: Who publishes; the user's login name if empty.

    Raises:
        util.OptionError: It holds faults; nothing was published.
        ConfigurationRacedError: Another came first; nothing was published.
        AppendConflictError: The expected offset lies beyond the end.
        LogUnavailableError: The log refused; nothing was published.
        AppendUnresolvedError: It may have been published.
    """
    configtext.check(configuration)
    author = author or getpass.getuser()
    text = configtext.dumps(configuration)
    try:
        offset = await log.append_resolving(
            stream, text, author, expected_offset
        )
    except AppendConflictError as error:
        if error.end < expected_offset:
            raise
        raise await raced(log, stream, expected_offset) from error
    return Published(offset, offset + 1, configuration, author)


async def change(
    log: LogClient, stream: str, edit: Edit, author: str = ""
) -> Published:
    """Fetches the configuration, edits it and publishes it once.

    An edit that changes nothing publishes nothing.

    Args:
        log: Client of the log.
        stream: Name of the configuration stream.
        edit: Returns the new configuration for the present one.
        author: Who publishes; the user's login name if empty.

    Raises:
        util.OptionError: The new one holds faults; nothing was published.
        ConfigurationRacedError: Another came first; nothing was published.
        ConfigurationExpiredError: There is no readable one to edit.
        LogUnavailableError: The log refused; nothing was published.
        AppendUnresolvedError: It may have been published.
    """
    published = await fetch(log, stream)
    edited = edit(published.configuration)
    if edited == published.configuration:
        return published
    return await publish(log, stream, edited, published.next_offset, author)


async def history(
    log: LogClient, stream: str = DEFAULT_STREAM, count: int = 20
) -> tuple[Change, ...]:
    """Returns the latest changes, oldest first.

    Args:
        log: Client of the log.
        stream: Name of the configuration stream.
        count: How many records to look at.

    Raises:
        LogUnavailableError: The log did not answer.
        OffsetExpiredError: Records expired while they were read.
    """
    span = await log.read(stream, PAST_END_OFFSET)
    batch = await log.read(stream, max(span.first, span.end - count))
    feed = configfeed.ConfigFeed()
    return tuple(
        read_change(feed, record.offset, record.data)
        for record in batch.records
    )


def read_change(feed: configfeed.ConfigFeed, offset: int, text: str) -> Change:
    """Returns what a record changed against what the feed holds."""
    before = feed.configuration if feed.offset >= 0 else None
    if not feed.apply(offset, text):
        return Change(offset, "", 0.0, (), feed.faults[-1].reason)
    changes = None
    if before is not None:
        changes = configdiff.diff(before, feed.configuration)
    return Change(offset, feed.author, feed.published_s, changes)


async def fetch_below(
    log: LogClient, stream: str, first: int, end: int
) -> Published | None:
    """Returns the last readable configuration within [first, end)."""
    feed = configfeed.ConfigFeed()
    for offset in range(end - 1, first - 1, -1):
        try:
            batch = await log.read(stream, offset)
        except OffsetExpiredError:
            return None
        if feed.apply(offset, batch.records[0].data):
            return Published(offset, end, feed.configuration, feed.author)
    return None


async def raced(
    log: LogClient, stream: str, expected_offset: int
) -> ConfigurationRacedError:
    """Returns the error that tells the loser what the others changed."""
    try:
        now = await fetch(log, stream)
        base = await fetch_below(log, stream, 0, expected_offset)
    except util.EgretthreadError as error:
        return ConfigurationRacedError("another operator", (str(error),))
    old = base.configuration if base else Configuration()
    changes = configdiff.diff(old, now.configuration)
    return ConfigurationRacedError(now.author, changes)
