"""Parses the log lines that `egretthread.logs` writes."""

import dataclasses
import datetime
import json
import re
from collections.abc import Iterable, Iterator

from egretthread import util

# A key and its value, which is either unquoted or a JSON string.
PAIR = re.compile(r'([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Names of the fields that every line has.
TIME, PROCESS, LEVEL, EVENT = "time", "process", "level", "event"


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One logged event.

    Attributes:
        source: The file, and any prefix of the line such as an instance name.
        at_s: Unix time of the event, from the line.
        event: Name of the event.
        fields: Values of all fields by name.
    """

    source: str
    at_s: float
    event: str
    fields: dict[str, str]

    def mentions(self, value: str) -> bool:
        """Whether any field has this value."""
        return value in self.fields.values()

    def number(self, name: str) -> float:
        """Returns a field as a number, or NaN if it is absent or not one."""
        try:
            return float(self.fields.get(name, "nan"))
        except ValueError:
            return float("nan")


def parse(text: str, source: str = "") -> LogLine | None:
    """Parses a line, or returns None if it contains no event.

    Log collectors may prefix lines with the instance's name or a time of their
    own. The prefix, without numbers, becomes part of the source.
    """
    start = text.find(f"{TIME}=")
    if start < 0:
        return None
    fields = {}
    for name, value in PAIR.findall(text[start:]):
        fields.setdefault(name, _unquote(value))
    try:
        at_s = datetime.datetime.fromisoformat(fields[TIME]).timestamp()
        event = fields[EVENT]
    except (KeyError, ValueError):
        return None
    prefix = [word for word in text[:start].split() if not _is_number(word)]
    return LogLine(
        " ".join([*filter(None, [source]), *prefix]), at_s, event, fields
    )


def read(path: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the events in the lines of a file and skips other lines."""
    for text in lines:
        line = parse(text, path)
        if line is not None:
            yield line


def format_line(line: LogLine, begin_s: float) -> str:
    """Formats a line for people.

    Args:
        line: The line.
        begin_s: Unix time relative to which the line's time is given.
    """
    formatted_fields = " ".join(
        f"{name}={value if ' ' not in value else json.dumps(value)}"
        for name, value in line.fields.items()
        if name not in (TIME, PROCESS, LEVEL, EVENT)
    )
    return (
        f"{line.at_s - begin_s:+9.3f} s  {line.source}  {line.event}"
        f"  {formatted_fields}"
    )


class LogFileError(util.EgretthreadError):
    """A log file cannot be read."""

    kind = "log_file"


def read_files(paths: Iterable[str]) -> list[LogLine]:
    """Returns the events of several files; `-` is standard input.

    Raises:
        LogFileError: A file cannot be read.
    """
    events = []
    has_several = len(list(paths)) > 1
    for path in paths:
        try:
            with open(0 if path == "-" else path, errors="replace") as lines:
                events += read(path if has_several else "", lines)
        except OSError as error:
            raise LogFileError(
                f"cannot read {path}: {error.strerror}", "give readable files"
            ) from error
    return events


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value


def _is_number(word: str) -> bool:
    return re.fullmatch(r"-?[0-9.]+", word) is not None
