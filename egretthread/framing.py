"""Frames on a byte stream: 4 bytes of length, big-endian, then the frame."""

import struct

from egretthread import wire

LENGTH = struct.Struct(">I")


def add_length(data: bytes) -> bytes:
    """Returns a frame with its length before it."""
    return LENGTH.pack(len(data)) + data


def take_frames(buffer: bytearray) -> list[bytes]:
    """Removes and returns the whole frames at the start of a buffer.

    Raises:
        wire.OversizeError: A frame is announced too long.
    """
    frames = []
    place = 0
    while len(buffer) - place >= LENGTH.size:
        (length,) = LENGTH.unpack_from(buffer, place)
        check_length(length, wire.MAX_FRAME_BYTES)
        end = place + LENGTH.size + length
        if end > len(buffer):
            break
        frames.append(bytes(buffer[place + LENGTH.size : end]))
        place = end
    del buffer[:place]
    return frames


def check_length(length: int, limit_bytes: int) -> None:
    """Raises OversizeError when a frame is announced too long."""
    if length > limit_bytes:
        raise wire.OversizeError(
            f"a frame of {length} bytes exceeds {limit_bytes}",
            "run the same release of egretthread at both ends",
        )
