"""The opening of a link: both ends prove that they hold the shared key.

The connecting end says hello, the accepting end answers with its own hello,
and then each sends an HMAC over both hellos, the connecting end first. The
nonces within make every proof new, and the labels keep an end from passing
off the other's proof as its own.
"""

import hashlib
import hmac
import secrets

from tornado import iostream

from egretthread import framing, util, wire
from egretthread.settings import AgentSettings, EntrySettings

NONCE_BYTES = 32
SERVER_LABEL = b"egretthread server"
CLIENT_LABEL = b"egretthread client"

Settings = EntrySettings | AgentSettings


class LinkError(util.EgretthreadError):
    """A link could not be opened."""

    kind = "link"


class WrongKeyError(LinkError):
    """The two ends hold different shared keys."""

    kind = "wrong_key"


class RefusedError(LinkError):
    """The other end refused the link."""

    kind = "refused"


async def accept(
    stream: iostream.IOStream, options: Settings, hello: wire.Hello
) -> wire.Hello:
    """Does the accepting end's part of the handshake.

    The connecting end proves the key first, so that this end shows nothing
    derived from it to strangers.

    Args:
        stream: The connection.
        options: Settings with the shared key.
        hello: This end's hello.

    Returns:
        The other end's hello.

    Raises:
        LinkError: The other end refused, or does not hold the key.
        wire.WireError: The other end speaks another protocol.
        iostream.StreamClosedError: The connection was lost.
    """
    stream.set_nodelay(True)
    theirs = await read_hello(stream)
    if theirs.version != wire.WIRE_VERSION:
        await _refuse(stream, wire.VersionError.kind)
    wire.check_version(theirs.version)
    await write_frame(stream, hello)
    proof = await read_frame(stream, wire.Proof)
    try:
        _check_proof(proof, options, CLIENT_LABEL, theirs, hello)
    except WrongKeyError:
        await _refuse(stream, WrongKeyError.kind)
        raise
    mine = _digest(options, SERVER_LABEL, theirs, hello)
    await write_frame(stream, wire.Proof(mine))
    return theirs


async def introduce(
    stream: iostream.IOStream, options: Settings, hello: wire.Hello
) -> wire.Hello:
    """Does the connecting end's part of the handshake.

    Args:
        stream: The connection.
        options: Settings with the shared key.
        hello: This end's hello.

    Returns:
        The other end's hello.

    Raises:
        LinkError: The other end refused, or does not hold the key.
        wire.WireError: The other end speaks another protocol.
        iostream.StreamClosedError: The connection was lost.
    """
    stream.set_nodelay(True)
    await write_frame(stream, hello)
    theirs = await read_hello(stream)
    wire.check_version(theirs.version)
    mine = _digest(options, CLIENT_LABEL, hello, theirs)
    await write_frame(stream, wire.Proof(mine))
    proof = await read_frame(stream, wire.Proof)
    _check_proof(proof, options, SERVER_LABEL, hello, theirs)
    return theirs


def new_hello(node: str, role: str) -> wire.Hello:
    """Returns the first frame for a new connection."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return wire.Hello(wire.WIRE_VERSION, node, role, nonce)


def _digest(
    options: Settings, label: bytes, client: wire.Hello, server: wire.Hello
) -> bytes:
    """Returns an end's proof over both hellos."""
    parts = [label]
    for hello in (client, server):
        frame = wire.encode_handshake(hello)
        parts.append(hashlib.sha256(frame).digest())
    key = options.shared_key.encode()
    return hmac.digest(key, b"".join(parts), "sha256")


def _check_proof(
    proof: wire.Proof,
    options: Settings,
    label: bytes,
    client: wire.Hello,
    server: wire.Hello,
) -> None:
    expected = _digest(options, label, client, server)
    if not hmac.compare_digest(expected, proof.digest):
        raise WrongKeyError(
            "the other end holds another shared key",
            "give both ends the same shared_key",
        )


async def _refuse(stream: iostream.IOStream, kind: str) -> None:
    await write_frame(stream, wire.HandshakeRefusal(kind))


async def write_frame(stream: iostream.IOStream, frame: wire.Handshake) -> None:
    """Sends one handshake frame."""
    await stream.write(framing.add_length(wire.encode_handshake(frame)))


async def read_hello(stream: iostream.IOStream) -> wire.Hello:
    """Returns the other end's hello."""
    hello = await read_frame(stream, wire.Hello)
    if len(hello.nonce) != NONCE_BYTES or not hello.node:
        raise wire.MalformedError(
            "the hello lacks a node id or a nonce",
            "run the same release of egretthread at both ends",
        )
    return hello


async def read_frame(stream: iostream.IOStream, expected: type):
    """Returns the next handshake frame, which must be of a class."""
    (length,) = framing.LENGTH.unpack(
        await stream.read_bytes(framing.LENGTH.size)
    )
    framing.check_length(length, wire.MAX_HANDSHAKE_BYTES)
    frame = wire.decode_handshake(await stream.read_bytes(length))
    if isinstance(frame, wire.HandshakeRefusal):
        raise _refusal(frame.kind)
    if not isinstance(frame, expected):
        raise wire.MalformedError(
            f"the handshake holds a {type(frame).__name__} too early",
            "run the same release of egretthread at both ends",
        )
    return frame


def _refusal(kind: str) -> LinkError:
    cls = WrongKeyError if kind == WrongKeyError.kind else RefusedError
    return cls(
        f"the other end refused the link: {kind}",
        "see the other end's log and compare the settings",
    )
