"""Lines of the log, read back into their fields."""

import dataclasses
import datetime
import json
import re
from collections.abc import Iterable, Iterator

from egretthread import util

# A value without quotes, or quoted as JSON.
PAIR = re.compile(r'([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Fields that every line has.
TIME, PROCESS, LEVEL, EVENT = "time", "process", "level", "event"


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One event.

    Attributes:
        source: Where it was read: a file, and what stood before the line.
        at_s: Unix time that the process stated.
        event: Name of the event.
        fields: All fields, by name.
    """

    source: str
    at_s: float
    event: str
    fields: dict[str, str]

    def mentions(self, value: str) -> bool:
        """Whether a field has this value."""
        return value in self.fields.values()

    def number(self, name: str) -> float:
        """Returns a field as a number; not a number when it is none."""
        try:
            return float(self.fields.get(name, "nan"))
        except ValueError:
            return float("nan")


def parse(text: str, source: str = "") -> LogLine | None:
    """Returns the event in a line; None when it holds none.

    Collectors put the name of an instance or their own time before a line;
    that becomes part of the source.
    """
    begin = text.find(f"{TIME}=")
    if begin < 0:
        return None
    fields = {}
    for name, value in PAIR.findall(text[begin:]):
        fields.setdefault(name, _unquote(value))
    try:
        at_s = datetime.datetime.fromisoformat(fields[TIME]).timestamp()
        event = fields[EVENT]
    except (KeyError, ValueError):
        return None
    words = [word for word in text[:begin].split() if not _is_number(word)]
    return LogLine(
        " ".join([*filter(None, [source]), *words]), at_s, event, fields
    )


def read(path: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the events of a file; other lines are passed over."""
    for text in lines:
        line = parse(text, path)
        if line is not None:
            yield line


def format_line(line: LogLine, begin_s: float) -> str:
    """Returns a line for people: time since the beginning, source, event."""
    shown = " ".join(
        f"{name}={value if ' ' not in value else json.dumps(value)}"
        for name, value in line.fields.items()
        if name not in (TIME, PROCESS, LEVEL, EVENT)
    )
    return (
        f"{line.at_s - begin_s:+9.3f} s  {line.source}  {line.event}  {shown}"
    )


class LogFileError(util.EgretthreadError):
    """A log file can't be read."""

    kind = "log_file"


def read_files(paths: Iterable[str]) -> list[LogLine]:
    """Returns the events of several files; `-` is standard input.

    Raises:
        LogFileError: A file can't be read.
    """
    found = []
    several = len(list(paths)) > 1
    for path in paths:
        try:
            with open(0 if path == "-" else path, errors="replace") as lines:
                found += read(path if several else "", lines)
        except OSError as error:
            raise LogFileError(
                f"{path}: {error.strerror}", "name files that can be read"
            ) from error
    return found


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value


def _is_number(word: str) -> bool:
    return re.fullmatch(r"-?[0-9.]+", word) is not None
