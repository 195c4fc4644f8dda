"""Encodes messages as Cap'n Proto frames and decodes them."""

import dataclasses
import enum
import pathlib
import types
import typing
from collections.abc import Callable, Sequence

import capnp

from egretthread import util
from egretthread.jobkey import JobRef
from egretthread.message import (
    Assign,
    Ballot,
    Message,
    Refusal,
    Report,
    SealReply,
    TaskAssignment,
    TaskReport,
    TaskState,
)
from egretthread.outcome import Outcome, OutcomeKind

WIRE_VERSION = 1
MAX_FRAME_BYTES = 16 * 2**20
MAX_HANDSHAKE_BYTES = 4096
WORD_BYTES = 8
# Enough to read the largest frame twice. The limit bounds the cost of a small
# malicious frame whose pointers refer to the same data many times.
TRAVERSAL_LIMIT_WORDS = 2 * MAX_FRAME_BYTES // WORD_BYTES

# Number that encodes a task report's state, outcome kind and refusal.
REPORT_CODES = {
    (state, kind, refusal): state_number + 16 * kind_number + 256 * number
    for state_number, state in enumerate(TaskState)
    for kind_number, kind in enumerate((None, *OutcomeKind))
    for number, refusal in enumerate(Refusal)
}
REPORT_FIELDS = {code: fields for fields, code in REPORT_CODES.items()}

# Errors that pycapnp raises for malformed frames and for values that do not
# fit their field.
CODEC_ERRORS = (
    capnp.KjException,
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    StopIteration,
    TypeError,
    ValueError,
)

Write = Callable[[object, object], None]
Read = Callable[[object], object]

capnp.remove_import_hook()
schema = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))


class WireError(util.EgretthreadError):
    """A frame cannot be encoded or decoded."""

    kind = "wire"


class VersionError(WireError):
    """A frame has another protocol version."""

    kind = "version"


class OversizeError(WireError):
    """A frame is longer than allowed."""

    kind = "oversize"


class MalformedError(WireError):
    """A frame, or a value in it, does not match the schema."""

    kind = "malformed"


@dataclasses.dataclass(frozen=True)
class Hello:
    """The first frame that each end of a link sends.

    Attributes:
        version: Protocol version of the sender.
        node: Node id of the sender.
        role: `entry` or `agent`.
        nonce: Random bytes, included in the proofs to prevent replay.
    """

    version: int
    node: str
    role: str
    nonce: bytes


@dataclasses.dataclass(frozen=True)
class Proof:
    """Proves that the sender holds the shared key."""

    digest: bytes


@dataclasses.dataclass(frozen=True)
class HandshakeRefusal:
    """States why the sender refuses the link.

    Attributes:
        kind: Kind of the error, such as `wrong_key` or `version`.
    """

    kind: str


Handshake = Hello | Proof | HandshakeRefusal


@dataclasses.dataclass(frozen=True)
class Codec:
    """Writes and reads values of one data class or field.

    Attributes:
        write: Fills a struct builder from a value.
        read: Returns the value held by a struct reader.
    """

    write: Write
    read: Read


def encode(messages: Sequence[Message]) -> bytes:
    """Encodes messages, in order, as one frame.

    Raises:
        OversizeError: The frame would exceed MAX_FRAME_BYTES.
        MalformedError: A value does not fit its field.
    """
    batch = schema.Batch.new_message()
    batch.version = WIRE_VERSION
    try:
        builders = batch.init("messages", len(messages))
        for builder, message in zip(builders, messages, strict=True):
            variant = VARIANTS[type(message)]
            CODECS[variant].write(builder.init(variant), message)
    except CODEC_ERRORS as error:
        raise _malformed(error) from error
    data = batch.to_bytes()
    _check_size(data, MAX_FRAME_BYTES)
    return data


def decode(data: bytes) -> tuple[Message, ...]:
    """Decodes the messages of one frame, in order.

    Raises:
        VersionError: The frame has another protocol version.
        OversizeError: The frame exceeds MAX_FRAME_BYTES.
        MalformedError: The frame does not match the schema.
    """
    _check_size(data, MAX_FRAME_BYTES)
    try:
        with schema.Batch.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as batch:
            check_version(batch.version)
            return tuple([_read_message(reader) for reader in batch.messages])
    except CODEC_ERRORS as error:
        raise _malformed(error) from error


def encode_handshake(frame: Handshake) -> bytes:
    """Encodes one handshake frame."""
    builder = schema.Handshake.new_message()
    if isinstance(frame, Hello):
        hello = builder.init("hello")
        for field in dataclasses.fields(Hello):
            setattr(hello, field.name, getattr(frame, field.name))
    elif isinstance(frame, Proof):
        builder.proof = frame.digest
    else:
        builder.refusal = frame.kind
    return builder.to_bytes()


def decode_handshake(data: bytes) -> Handshake:
    """Decodes one handshake frame.

    Raises:
        OversizeError: The frame exceeds MAX_HANDSHAKE_BYTES.
        MalformedError: The frame does not match the schema.
    """
    _check_size(data, MAX_HANDSHAKE_BYTES)
    try:
        with schema.Handshake.from_bytes(data) as frame:
            return _read_handshake(frame)
    except CODEC_ERRORS as error:
        raise _malformed(error) from error


def check_version(version: int) -> None:
    """Raises VersionError unless the version is WIRE_VERSION."""
    if version != WIRE_VERSION:
        raise VersionError(
            f"the frame has protocol version {version}, not {WIRE_VERSION}",
            "run the same release of egretthread at both ends",
        )


def _read_handshake(frame) -> Handshake:
    variant = frame.which()
    if variant == "hello":
        hello = frame.hello
        return Hello(hello.version, hello.node, hello.role, hello.nonce)
    if variant == "proof":
        return Proof(frame.proof)
    return HandshakeRefusal(frame.refusal)


def _read_message(reader) -> Message:
    variant = reader.which()
    return CODECS[variant].read(getattr(reader, variant))


def _check_size(data: bytes, limit_bytes: int) -> None:
    if len(data) > limit_bytes:
        raise OversizeError(
            f"a frame of {len(data)} bytes exceeds the limit of {limit_bytes}",
            "split the batch, or lower the payload limit of the service",
        )


def _malformed(error: Exception) -> MalformedError:
    lines = str(error).splitlines() or [type(error).__name__]
    return MalformedError(
        f"the frame does not match the schema: {lines[0]}",
        "run the same release of egretthread at both ends",
    )


# The codecs of Assign, Report and SealReply are written by hand, because these
# messages carry the tasks.


def _write_assign(builder, message: Assign) -> None:
    _write_common_fields(builder, message)
    builder.service = message.service
    tasks = message.tasks
    numbers = []
    for task in tasks:
        numbers += (task.index, task.attempt)
    builder.numbers = numbers
    builder.payloads = [task.payload for task in tasks]
    builder.timeouts = [task.timeout_s for task in tasks]
    builder.want = message.want
    builder.urgentS = message.urgent_s
    builder.mayQueue = message.may_queue


def _read_assign(reader) -> Assign:
    numbers = list(reader.numbers)
    tasks = zip(
        numbers[0::2],
        numbers[1::2],
        reader.payloads,
        reader.timeouts,
        strict=True,
    )
    return Assign(
        JobRef(reader.organisation, reader.key),
        reader.service,
        Ballot(reader.generation, reader.coordinator),
        reader.agent,
        tuple([TaskAssignment(*task) for task in tasks]),
        reader.want,
        reader.urgentS,
        reader.mayQueue,
    )


def _write_report(builder, message: Report) -> None:
    _write_common_fields(builder, message)
    _write_task_reports(builder, message.tasks)
    builder.free = message.free
    builder.received = message.received


def _read_report(reader) -> Report:
    return Report(
        JobRef(reader.organisation, reader.key),
        Ballot(reader.generation, reader.coordinator),
        reader.agent,
        _read_task_reports(reader),
        reader.free,
        reader.received,
    )


def _write_seal_reply(builder, message: SealReply) -> None:
    _write_common_fields(builder, message)
    _write_task_reports(builder, message.tasks)


def _read_seal_reply(reader) -> SealReply:
    return SealReply(
        JobRef(reader.organisation, reader.key),
        Ballot(reader.generation, reader.coordinator),
        reader.agent,
        _read_task_reports(reader),
    )


def _write_common_fields(builder, message: Assign | Report | SealReply) -> None:
    job = message.job
    builder.organisation = job.organisation
    builder.key = job.key
    ballot = message.ballot
    builder.generation = ballot.generation
    builder.coordinator = ballot.coordinator
    builder.agent = message.agent


def _write_task_reports(builder, tasks: tuple[TaskReport, ...]) -> None:
    numbers = []
    texts = []
    for task in tasks:
        outcome = task.outcome
        kind = None
        if outcome is not None:
            kind = outcome.kind
            texts += (outcome.result, outcome.reason)
        code = REPORT_CODES[task.state, kind, task.refusal]
        numbers += (task.index, task.attempt, code)
    builder.numbers = numbers
    builder.texts = texts
    builder.runs = [task.run_s for task in tasks]


def _read_task_reports(reader) -> tuple[TaskReport, ...]:
    numbers = list(reader.numbers)
    texts = list(reader.texts)
    results = zip(texts[0::2], texts[1::2], strict=True)
    columns = zip(
        numbers[0::3], numbers[1::3], numbers[2::3], reader.runs, strict=True
    )
    tasks = []
    for index, attempt, code, run_s in columns:
        state, kind, refusal = REPORT_FIELDS[code]
        outcome = Outcome(kind, *next(results)) if kind else None
        tasks.append(TaskReport(index, attempt, state, outcome, refusal, run_s))
    return tuple(tasks)


# The codecs of all other messages are derived from the data class's fields.


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _struct_codec(cls: type) -> Codec:
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
    return HAND_WRITTEN.get(hint) or _struct_codec(hint)


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


def _variant(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


HAND_WRITTEN: dict[type, Codec] = {
    Assign: Codec(_write_assign, _read_assign),
    Report: Codec(_write_report, _read_report),
    SealReply: Codec(_write_seal_reply, _read_seal_reply),
}

# Name of each message class in the union `Message` of the schema, and the
# codec of each union member.
VARIANTS: dict[type, str] = {
    cls: _variant(cls) for cls in typing.get_args(Message)
}
CODECS: dict[str, Codec] = {
    variant: _type_codec(cls) for cls, variant in VARIANTS.items()
}
