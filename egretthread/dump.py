"""Conversion of a process's state to JSON, without secrets and payloads."""

import collections
import dataclasses
import enum
import itertools
import math
from collections.abc import Iterable, Mapping

# Names of fields whose values are hidden.
SECRET_FIELDS = frozenset(
    ("shared_key", "salt", "digest", "key_digest", "access_key", "secret")
)
# Names of text fields of which only the length is shown, because they contain
# data of callers.
TEXT_FIELDS = frozenset(("payload", "result"))
HIDDEN = "(hidden)"
MAX_ITEMS = 100
MAX_DEPTH = 12
# Limits the size of the dump as a whole. The other limits alone do not, because
# nested collections multiply.
MAX_NODES = 50_000

COLLECTIONS = (list, tuple, set, frozenset, collections.deque)


def to_json(value: object) -> object:
    """Converts a tree of data classes to values that json can serialize.

    Collections longer than MAX_ITEMS become `{"count": …, "first": …}`. Other
    objects, such as functions, are represented by the name of their class.

    Args:
        value: A data class, collection or plain value.
    """
    return _Dump().convert(value, 0)


class _Dump:
    """One dump in progress.

    Attributes:
        nodes: Counter of the compound values converted so far.
    """

    def __init__(self):
        self.nodes = itertools.count(1)

    def convert(self, value: object, depth: int) -> object:
        """Converts any value."""
        if value is None or isinstance(value, bool | int):
            return value
        if isinstance(value, enum.Enum):
            return value.value
        if isinstance(value, float):
            return value if math.isfinite(value) else str(value)
        if isinstance(value, str):
            return str(value)
        if isinstance(value, bytes | bytearray):
            return f"({len(value)} bytes)"
        return self.convert_compound(value, depth)

    def convert_compound(self, value: object, depth: int) -> object:
        """Converts a data class, mapping or collection."""
        if depth > MAX_DEPTH or next(self.nodes) > MAX_NODES:
            return f"({type(value).__name__} cut)"
        if dataclasses.is_dataclass(value) and not isinstance(value, type):
            return {
                field.name: self.convert_field(
                    field.name, getattr(value, field.name), depth + 1
                )
                for field in dataclasses.fields(value)
            }
        if isinstance(value, Mapping):
            return self.convert_mapping(value, depth + 1)
        if isinstance(value, COLLECTIONS):
            return self.convert_items(value, depth + 1)
        return f"({type(value).__name__})"

    def convert_field(self, name: object, value: object, depth: int) -> object:
        """Converts the value of a named field and hides sensitive ones."""
        if name in SECRET_FIELDS:
            return HIDDEN
        if name in TEXT_FIELDS and isinstance(value, str):
            return f"({len(value)} characters)"
        return self.convert(value, depth)

    def convert_mapping(self, values: Mapping, depth: int) -> object:
        """Converts the first MAX_ITEMS items of a mapping."""
        first = {
            _key_text(key): self.convert_field(key, value, depth)
            for key, value in itertools.islice(values.items(), MAX_ITEMS)
        }
        return _truncated(first, len(values))

    def convert_items(self, values: Iterable, depth: int) -> object:
        """Converts the first MAX_ITEMS items of a collection."""
        first = [
            self.convert(value, depth)
            for value in itertools.islice(values, MAX_ITEMS)
        ]
        return _truncated(first, len(values))


def _truncated(first: dict | list, count: int) -> object:
    if count == len(first):
        return first
    return {"count": count, "first": first}


def _key_text(key: object) -> str:
    if isinstance(key, enum.Enum):
        return str(key.value)
    if dataclasses.is_dataclass(key):
        return "/".join(_key_text(part) for part in dataclasses.astuple(key))
    if isinstance(key, tuple):
        return "/".join(_key_text(part) for part in key)
    return str(key)
