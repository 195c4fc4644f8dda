"""Structured logging: one line of key=value pairs per event."""

import json
import logging
import math
import re
import sys
import time

from pythonjsonlogger import core

from egretthread import loglimit

# Values that match are written without quotes.
UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9._:/#@+,*%&()\[\]{}<>|~^!?;-]+")
# Characters that are replaced in names of fields.
INVALID_KEY_CHARACTER = re.compile(r"[^A-Za-z0-9_.]")

logger = logging.getLogger("egretthread")


class KeyValueFormatter(core.BaseJsonFormatter):
    """Formats a record as `time=… level=… event=… key=value …`."""

    def formatTime(self, record, datefmt=None):  # noqa: N802
        """Returns the record's time in UTC with milliseconds."""
        seconds = time.strftime(
            "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
        )
        return f"{seconds}.{int(record.msecs):03d}Z"

    def serialize_log_record(self, log_data: dict) -> str:
        """Returns the fields of a record as one line."""
        return " ".join(
            f"{INVALID_KEY_CHARACTER.sub('_', str(key))}={quote(value)}"
            for key, value in log_data.items()
        )


def quote(value: object) -> str:
    """Formats a value on one line, with quotes if necessary."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and math.isfinite(value):
        return f"{value:.6g}"
    text = str(value)
    if UNQUOTED_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def setup(level: str, process_name: str, stream=None) -> None:
    """Configures logging to write all records to a stream as key=value lines.

    Args:
        level: Minimum severity that is logged, such as `info`.
        process_name: Value of the field `process` in every line.
        stream: Stream to write to; None for standard error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        KeyValueFormatter(
            ("asctime", "levelname", "message"),
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "message": "event",
            },
            static_fields={"process": process_name},
        )
    )
    handler.addFilter(loglimit.LineLimit())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def event(level: int, name: str, /, **fields: object) -> None:
    """Logs one event.

    Args:
        level: Severity, such as `logging.INFO`.
        name: Name of the event in snake case.
        **fields: Additional fields of the line. Names that the logging module
            reserves get a trailing underscore.
    """
    _write(level, name, fields)


def debug(name: str, /, **fields: object) -> None:
    """Logs an event at level debug."""
    _write(logging.DEBUG, name, fields)


def info(name: str, /, **fields: object) -> None:
    """Logs an event at level info."""
    _write(logging.INFO, name, fields)


def warning(name: str, /, **fields: object) -> None:
    """Logs an event at level warning."""
    _write(logging.WARNING, name, fields)


def error(name: str, /, **fields: object) -> None:
    """Logs an event at level error."""
    _write(logging.ERROR, name, fields)


def exception(name: str, /, **fields: object) -> None:
    """Logs an event at level error, with the current exception."""
    _write(logging.ERROR, name, fields, with_exception=True)


def _write(
    level: int, name: str, fields: dict, with_exception: bool = False
) -> None:
    if not logger.isEnabledFor(level):
        return
    extra = {
        f"{key}_" if key in core.RESERVED_ATTRS else key: value
        for key, value in fields.items()
    }
    logger.log(level, name, exc_info=with_exception, extra=extra)
