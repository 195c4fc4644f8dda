"""Library for operators: prints, edits and publishes the configuration.

A record of the configuration stream holds a complete configuration. It is
appended on condition that the stream still ends where the operator saw it
end. If two operators publish at the same time, one of them wins and the other
gets an error that lists the changes.
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
        changes: The changes made by other operators, one line each.
    """

    kind = "configuration_raced"

    def __init__(self, author: str, changes: tuple[str, ...]):
        listed = "; ".join(changes) or "nothing"
        super().__init__(
            f"{author} published first and changed: {listed}",
            "fetch the configuration, check it and repeat the edit",
        )
        self.author = author
        self.changes = changes


class ConfigurationExpiredError(util.EgretthreadError):
    """The stream held records before, but no valid one is left.

    Attributes:
        next_offset: The offset for publishing a saved copy.
    """

    kind = "configuration_expired"

    def __init__(self, stream: str, next_offset: int):
        super().__init__(
            f"stream {stream} no longer holds a valid configuration",
            "publish the copy in the state dump of an entry, with expected"
            f" offset {next_offset}",
        )
        self.next_offset = next_offset


@dataclasses.dataclass(frozen=True)
class Published:
    """The configuration as published on the log.

    Attributes:
        offset: Offset of its record; -1 if none was published yet.
        next_offset: The offset at which the next one is published.
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
        at_s: When it was published, in Unix seconds.
        changes: Differences from the previous record, one line each; None for
            the oldest record shown.
        fault: Why this record is skipped; empty if it is valid.
    """

    offset: int
    author: str
    at_s: float
    changes: tuple[str, ...] | None
    fault: str = ""


def print_configuration(
    configuration: Configuration, file: TextIO | None = None
) -> None:
    """Prints a configuration as the TOML text that the system accepts.

    Args:
        configuration: The configuration.
        file: File to print to; standard output if None.

    Raises:
        util.OptionError: It holds faults; the error names them all.
    """
    configtext.check(configuration)
    print(configtext.dumps(configuration), end="", file=file or sys.stdout)


async def fetch(log: LogClient, stream: str = DEFAULT_STREAM) -> Published:
    """Returns the configuration that was published last.

    Raises:
        LogUnavailableError: The log did not answer.
        ConfigurationExpiredError: No valid record is left.
    """
    bounds = await log.read(stream, PAST_END_OFFSET)
    if bounds.end == 0:
        return Published(-1, 0, Configuration())
    published = await fetch_last_valid(log, stream, bounds.first, bounds.end)
    if published is None:
        raise ConfigurationExpiredError(stream, bounds.end)
    return published


async def publish(
    log: LogClient,
    stream: str,
    configuration: Configuration,
    expected_offset: int,
    author: str = "",
) -> Published:
    """Publishes a configuration unless another was published in between.

    Args:
        log: Client of the log.
        stream: Name of the configuration stream.
        configuration: The complete configuration.
        expected_offset: `next_offset` of the configuration that was fetched.
        author: Who publishes; the user's login name if empty.

    Raises:
        util.OptionError: It holds faults; nothing was published.
        ConfigurationRacedError: Another operator published first; nothing was
            published here.
        AppendConflictError: The expected offset is beyond the stream's end.
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
        raise await race_error(log, stream, expected_offset) from error
    return Published(offset, offset + 1, configuration, author)


async def change(
    log: LogClient, stream: str, edit: Edit, author: str = ""
) -> Published:
    """Fetches the configuration, edits it and publishes the result.

    Nothing is published if the edit changes nothing. An edit that loses a
    race is not repeated.

    Args:
        log: Client of the log.
        stream: Name of the configuration stream.
        edit: Returns the edited copy of the current configuration.
        author: Who publishes; the user's login name if empty.

    Raises:
        util.OptionError: The result holds faults; nothing was published.
        ConfigurationRacedError: Another operator published first; nothing was
            published here.
        ConfigurationExpiredError: There is no valid one to edit.
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
        count: Number of records to read.

    Raises:
        LogUnavailableError: The log did not answer.
        OffsetExpiredError: Records expired while they were read.
    """
    bounds = await log.read(stream, PAST_END_OFFSET)
    batch = await log.read(stream, max(bounds.first, bounds.end - count))
    feed = configfeed.ConfigFeed()
    return tuple(
        read_change(feed, record.offset, record.data)
        for record in batch.records
    )


def read_change(feed: configfeed.ConfigFeed, offset: int, text: str) -> Change:
    """Applies a record to the feed and returns what it changed there."""
    before = feed.configuration if feed.offset >= 0 else None
    if not feed.apply(offset, text):
        return Change(offset, "", 0.0, (), feed.faults[-1].reason)
    changes = None
    if before is not None:
        changes = configdiff.diff(before, feed.configuration)
    return Change(offset, feed.author, feed.published_s, changes)


async def fetch_last_valid(
    log: LogClient, stream: str, first: int, end: int
) -> Published | None:
    """Returns the last valid configuration at an offset in [first, end)."""
    feed = configfeed.ConfigFeed()
    for offset in range(end - 1, first - 1, -1):
        try:
            batch = await log.read(stream, offset)
        except OffsetExpiredError:
            return None
        if feed.apply(offset, batch.records[0].data):
            return Published(offset, end, feed.configuration, feed.author)
    return None


async def race_error(
    log: LogClient, stream: str, expected_offset: int
) -> ConfigurationRacedError:
    """Returns the error that lists what other operators changed."""
    try:
        latest = await fetch(log, stream)
        base = await fetch_last_valid(log, stream, 0, expected_offset)
    except util.EgretthreadError as error:
        return ConfigurationRacedError("another operator", (str(error),))
    old = base.configuration if base else Configuration()
    changes = configdiff.diff(old, latest.configuration)
    return ConfigurationRacedError(latest.author, changes)
