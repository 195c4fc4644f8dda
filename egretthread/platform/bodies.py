"""Validation of JSON bodies received from other systems."""

import reprlib

import orjson

from egretthread import util
from egretthread.scheduling.room import Room

# Larger whole numbers are not represented exactly by every JSON implementation.
MAX_COUNT = 2**53 - 1


class BodyError(util.EgretthreadError):
    """A body is malformed."""

    kind = "bad_body"


def parse(body: bytes) -> dict:
    """Returns the JSON object in a body.

    Raises:
        BodyError: The body is not a JSON object.
    """
    try:
        table = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BodyError(
            f"the body is not valid JSON: {error}", "send a JSON object"
        ) from error
    if not isinstance(table, dict):
        raise BodyError("the body is not a JSON object", "send a JSON object")
    return table


def field(table: dict, name: str, kind: type, default=None):
    """Returns one field of a JSON object.

    Args:
        table: The object.
        name: The field's name.
        kind: The required type; for float, a whole number is accepted too.
        default: Value of an absent field; None if the field is required.

    Raises:
        BodyError: The field is missing or has another type.
    """
    value = table.get(name, default)
    if kind is float and isinstance(value, int):
        value = float(value) if not isinstance(value, bool) else value
    is_kind = isinstance(value, kind)
    if not is_kind or (isinstance(value, bool) and kind is not bool):
        raise BodyError(
            f"{name} is {reprlib.repr(value)}",
            f"set {name} to a value of type {kind.__name__}",
        )
    return value


def count(table: dict, name: str, default: int | None = None) -> int:
    """Returns a field that holds a non-negative whole number.

    Raises:
        BodyError: The field is missing, has another type or is out of range.
    """
    return _check_range(name, field(table, name, int, default))


def amount(table: dict, name: str) -> float:
    """Returns a required field that holds a non-negative number.

    Raises:
        BodyError: The field is missing, has another type or is out of range.
    """
    return _check_range(name, field(table, name, float))


def _check_range(name: str, value: float) -> float:
    if not 0 <= value <= MAX_COUNT:
        raise BodyError(
            f"{name} is {value}", f"set {name} to a value of 0 to {MAX_COUNT}"
        )
    return value


def label(table: dict, name: str) -> str:
    """Returns a required field that holds a text that is not empty.

    Raises:
        BodyError: The field is missing, has another type or is empty.
    """
    value = field(table, name, str)
    if not value:
        raise BodyError(f"{name} is empty", f"set {name} to its name")
    return value


def strings(table: dict, name: str) -> tuple[str, ...]:
    """Returns a field that holds a list of strings; empty if it is absent.

    Raises:
        BodyError: The field is not a list of strings.
    """
    values = field(table, name, list, [])
    if not all(isinstance(value, str) for value in values):
        raise BodyError(
            f"{name} is not a list of strings", f"put only strings into {name}"
        )
    return tuple(values)


def objects(table: dict, name: str, default=None) -> list[dict]:
    """Returns a field that holds a list of objects.

    Args:
        table: The object.
        name: The field's name.
        default: Value of an absent field; None if the field is required.

    Raises:
        BodyError: The field is not a list of objects.
    """
    values = field(table, name, list, default)
    if not all(isinstance(value, dict) for value in values):
        raise BodyError(
            f"{name} is not a list of objects", f"put only objects into {name}"
        )
    return values


def room(table: dict) -> Room:
    """Returns the amounts of CPU, memory and GPUs in an object.

    Raises:
        BodyError: An amount has another type or is negative.
    """
    return Room(
        cpu=count(table, "cpu", 0),
        memory_mb=count(table, "mem_mb", 0),
        gpu=count(table, "gpu", 0),
    )
