"""Frames on a byte stream, each with a 4-byte big-endian length prefix."""

import struct

from egretthread import wire

LENGTH = struct.Struct(">I")


def add_length(data: bytes) -> bytes:
    """Returns a frame with its length prefix."""
    return LENGTH.pack(len(data)) + data


def take_frames(buffer: bytearray) -> list[bytes]:
    """Removes and returns the complete frames at the start of a buffer.

    Raises:
        wire.OversizeError: A length prefix exceeds MAX_FRAME_BYTES.
    """
    frames = []
    start = 0
    while len(buffer) - start >= LENGTH.size:
        (length,) = LENGTH.unpack_from(buffer, start)
        check_length(length, wire.MAX_FRAME_BYTES)
        end = start + LENGTH.size + length
        if end > len(buffer):
            break
        frames.append(bytes(buffer[start + LENGTH.size : end]))
        start = end
    del buffer[:start]
    return frames


def check_length(length: int, limit_bytes: int) -> None:
    """Raises OversizeError if a length prefix exceeds the limit."""
    if length > limit_bytes:
        raise wire.OversizeError(
            f"a frame of {length} bytes exceeds the limit of {limit_bytes}",
            "run the same release of egretthread at both ends",
        )
