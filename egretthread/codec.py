"""Codecs between data classes and Cap'n Proto structs of the same shape."""

import dataclasses
import enum
import types
import typing
from collections.abc import Callable

Write = Callable[[object, object], None]
Read = Callable[[object], object]


@dataclasses.dataclass(frozen=True)
class Codec:
    """Writes and reads values of one data class or field.

    Attributes:
        write: Fills a struct builder from a value.
        read: Returns the value held by a struct reader.
    """

    write: Write
    read: Read


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def derive(cls: type) -> Codec:
    """Returns a codec derived from the fields of a data class."""
    hints = typing.get_type_hints(cls)
    fields = [
        (field.name, _field_codec(_camel_case(field.name), hints[field.name]))
        for field in dataclasses.fields(cls)
    ]

    def write(builder, value) -> None:
        for name, codec in fields:
            codec.write(builder, getattr(value, name))

    def read(reader):
        return cls(*[codec.read(reader) for _, codec in fields])

    return Codec(write, read)


def _field_codec(field: str, hint: object) -> Codec:
    """Returns a codec for one field, given its name and type hint."""
    if hint in (bool, int, float, str):
        return _plain_field(field)
    if isinstance(hint, types.UnionType):
        return _optional_field(field, _type_codec(typing.get_args(hint)[0]))
    if typing.get_origin(hint) is tuple:
        element_type = typing.get_args(hint)[0]
        if element_type in (int, str):
            return _plain_list_field(field)
        return _struct_list_field(field, _type_codec(element_type))
    if issubclass(hint, enum.Enum):
        return _enum_field(field, tuple(hint))
    return _struct_field(field, _type_codec(hint))


def _type_codec(hint: object) -> Codec:
    if typing.get_origin(hint) is tuple:
        return Codec(_write_pair, _read_pair)
    return derive(hint)


def _write_pair(builder, pair: tuple) -> None:
    builder.first, builder.second = pair


def _read_pair(reader) -> tuple:
    return reader.first, reader.second


def _plain_field(field: str) -> Codec:
    return Codec(
        lambda builder, value: setattr(builder, field, value),
        lambda reader: getattr(reader, field),
    )


def _plain_list_field(field: str) -> Codec:
    return Codec(
        lambda builder, value: setattr(builder, field, list(value)),
        lambda reader: tuple(getattr(reader, field)),
    )


def _enum_field(field: str, members: tuple[enum.Enum, ...]) -> Codec:
    numbers = {member: number for number, member in enumerate(members)}
    return Codec(
        lambda builder, value: setattr(builder, field, numbers[value]),
        lambda reader: members[getattr(reader, field)],
    )


def _struct_field(field: str, codec: Codec) -> Codec:
    return Codec(
        lambda builder, value: codec.write(builder.init(field), value),
        lambda reader: codec.read(getattr(reader, field)),
    )


def _optional_field(field: str, codec: Codec) -> Codec:
    def write(builder, value) -> None:
        if value is not None:
            codec.write(builder.init(field), value)

    def read(reader):
        if not reader._has(field):
            return None
        return codec.read(getattr(reader, field))

    return Codec(write, read)


def _struct_list_field(field: str, codec: Codec) -> Codec:
    def write(builder, values) -> None:
        elements = builder.init(field, len(values))
        for element, value in zip(elements, values, strict=True):
            codec.write(element, value)

    def read(reader) -> tuple:
        return tuple([codec.read(value) for value in getattr(reader, field)])

    return Codec(write, read)
