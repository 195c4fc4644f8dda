"""Encodes messages as Cap'n Proto frames and decodes them."""

import dataclasses
import functools
import importlib
import pathlib
from collections.abc import Sequence

import capnp

from egretthread import codec, util
from egretthread.codec import Codec
from egretthread.scheduling import runmessage

WIRE_VERSION = 1
MAX_FRAME_BYTES = 16 * 2**20
MAX_HANDSHAKE_BYTES = 4096
WORD_BYTES = 8
# Enough to read the largest frame twice. The limit bounds the cost of a small
# malicious frame whose pointers refer to the same data many times.
TRAVERSAL_LIMIT_WORDS = 2 * MAX_FRAME_BYTES // WORD_BYTES

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

# One of the data classes in the modules below.
Message = object
# Modules that define messages. The processes on the operators' platform use
# only the first, and start faster without the second.
MESSAGE_MODULES = (runmessage.__name__, "egretthread.message")

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
            cls = type(message)
            _class_codec(cls).write(builder.init(_variant(cls)), message)
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
    cls = variant_class(variant)
    return _class_codec(cls).read(getattr(reader, variant))


@functools.cache
def _variant(cls: type) -> str:
    """Returns the member for a class in the schema's union of messages."""
    return cls.__name__[0].lower() + cls.__name__[1:]


@functools.cache
def variant_class(variant: str) -> type:
    """Returns the message class for a member of that union."""
    class_name = variant[0].upper() + variant[1:]
    for module_name in MESSAGE_MODULES:
        cls = getattr(importlib.import_module(module_name), class_name, None)
        if cls is not None:
            return cls
    raise KeyError(variant)


@functools.cache
def _class_codec(cls: type) -> Codec:
    """Returns the codec of a message class, derived from it unless written."""
    if cls.__module__ == runmessage.__name__:
        return codec.derive(cls)
    taskcodec = importlib.import_module("egretthread.taskcodec")
    return taskcodec.BY_CLASS.get(cls) or codec.derive(cls)


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
