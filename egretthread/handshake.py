"""Handshake of a link, in which both ends prove that they hold the shared key.

The connecting end sends a hello, and the accepting end answers with its own.
Then each sends an HMAC over both hellos, the connecting end first. The nonces
in the hellos prevent replay of an earlier proof. Each end's HMAC covers a
label of its own, so that neither can send the other's proof back.
"""

import hashlib
import hmac
import secrets

from egretthread import framing, util, wire
from egretthread.linkstream import LinkStream
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
    stream: LinkStream, options: Settings, hello: wire.Hello
) -> wire.Hello:
    """Performs the accepting end's part of the handshake.

    The connecting end sends its proof first, so that this end reveals nothing
    derived from the key to an unauthenticated peer.

    Args:
        stream: The connection.
        options: Settings with the shared key.
        hello: This end's hello.

    Returns:
        The other end's hello.

    Raises:
        LinkError: The other end refused the link, or its key is wrong.
        wire.WireError: The other end uses another protocol or version.
        StreamLostError: The connection was lost.
    """
    client_hello = await read_hello(stream)
    if client_hello.version != wire.WIRE_VERSION:
        _refuse(stream, wire.VersionError.kind)
    wire.check_version(client_hello.version)
    write_frame(stream, hello)
    proof = await read_frame(stream, wire.Proof)
    try:
        _check_proof(proof, options, CLIENT_LABEL, client_hello, hello)
    except WrongKeyError:
        _refuse(stream, WrongKeyError.kind)
        raise
    digest = _digest(options, SERVER_LABEL, client_hello, hello)
    write_frame(stream, wire.Proof(digest))
    return client_hello


async def initiate(
    stream: LinkStream, options: Settings, hello: wire.Hello
) -> wire.Hello:
    """Performs the connecting end's part of the handshake.

    Args:
        stream: The connection.
        options: Settings with the shared key.
        hello: This end's hello.

    Returns:
        The other end's hello.

    Raises:
        LinkError: The other end refused the link, or its key is wrong.
        wire.WireError: The other end uses another protocol or version.
        StreamLostError: The connection was lost.
    """
    write_frame(stream, hello)
    server_hello = await read_hello(stream)
    wire.check_version(server_hello.version)
    digest = _digest(options, CLIENT_LABEL, hello, server_hello)
    write_frame(stream, wire.Proof(digest))
    proof = await read_frame(stream, wire.Proof)
    _check_proof(proof, options, SERVER_LABEL, hello, server_hello)
    return server_hello


def new_hello(node: str, role: str) -> wire.Hello:
    """Returns a hello with a fresh nonce for a new connection."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    return wire.Hello(wire.WIRE_VERSION, node, role, nonce)


def _digest(
    options: Settings, label: bytes, client: wire.Hello, server: wire.Hello
) -> bytes:
    """Returns the HMAC with which one end proves the shared key."""
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
            "the other end has a different shared key",
            "set the same shared_key at both ends",
        )


def _refuse(stream: LinkStream, kind: str) -> None:
    write_frame(stream, wire.HandshakeRefusal(kind))


def write_frame(stream: LinkStream, frame: wire.Handshake) -> None:
    """Sends one handshake frame."""
    stream.write(framing.add_length(wire.encode_handshake(frame)))


async def read_hello(stream: LinkStream) -> wire.Hello:
    """Returns the other end's hello."""
    hello = await read_frame(stream, wire.Hello)
    if len(hello.nonce) != NONCE_BYTES or not hello.node:
        raise wire.MalformedError(
            "the hello has no node id or a nonce of wrong length",
            "run the same release of egretthread at both ends",
        )
    return hello


async def read_frame(stream: LinkStream, expected: type):
    """Returns the next handshake frame, which must be of the given class."""
    (length,) = framing.LENGTH.unpack(
        await stream.read_bytes(framing.LENGTH.size)
    )
    framing.check_length(length, wire.MAX_HANDSHAKE_BYTES)
    frame = wire.decode_handshake(await stream.read_bytes(length))
    if isinstance(frame, wire.HandshakeRefusal):
        raise _refusal(frame.kind)
    if not isinstance(frame, expected):
        raise wire.MalformedError(
            f"the handshake has a {type(frame).__name__} frame instead of"
            f" {expected.__name__}",
            "run the same release of egretthread at both ends",
        )
    return frame


def _refusal(kind: str) -> LinkError:
    cls = WrongKeyError if kind == WrongKeyError.kind else RefusedError
    return cls(
        f"the other end refused the link: {kind}",
        "see the other end's log and compare the settings",
    )
