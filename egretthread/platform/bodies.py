"""Checks of the JSON bodies that arrive from outside."""

import orjson

from egretthread import util
from egretthread.scheduling.room import Room


class BodyError(util.EgretthreadError):
    """A body does not have the form it should have."""

    kind = "bad_body"


def parse(body: bytes) -> dict:
    """Returns the object in a body.

    Raises:
        BodyError: It is not a JSON object.
    """
    try:
        table = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BodyError(
            f"the body is not JSON: {error}", "send JSON"
        ) from error
    if not isinstance(table, dict):
        raise BodyError("the body is not an object", "send a JSON object")
    return table


def field(table: dict, name: str, kind: type, default=None):
    """Returns one field of an object.

    Args:
        table: The object.
        name: The field's name.
        kind: What it must be; a float may also be a whole number.
        default: Its value when it is left out; None when it must be there.

    Raises:
        BodyError: It is missing, or of another type.
    """
    value = table.get(name, default)
    if kind is float and isinstance(value, int):
        value = float(value) if not isinstance(value, bool) else value
    is_kind = isinstance(value, kind)
    if not is_kind or (isinstance(value, bool) and kind is not bool):
        raise BodyError(
            f"{name} is {value!r}", f"give {name} as {kind.__name__}"
        )
    return value


def count(table: dict, name: str, default: int | None = None) -> int:
    """Returns a field that is a whole number of 0 or more.

    Raises:
        BodyError: It is missing, of another type, or negative.
    """
    value = field(table, name, int, default)
    if value < 0:
        raise BodyError(f"{name} is {value}", f"give {name} as 0 or more")
    return value


def texts(table: dict, name: str) -> tuple[str, ...]:
    """Returns a field that is a list of texts; empty when left out.

    Raises:
        BodyError: It is something else.
    """
    values = field(table, name, list, [])
    if not all(isinstance(value, str) for value in values):
        raise BodyError(f"{name} holds no texts", f"give texts in {name}")
    return tuple(values)


def room(table: dict) -> Room:
    """Returns the amounts of processor, memory and accelerators.

    Raises:
        BodyError: One is of another type or negative.
    """
    return Room(
        cpu=count(table, "cpu", 0),
        memory_mb=count(table, "mem_mb", 0),
        gpu=count(table, "gpu", 0),
    )
