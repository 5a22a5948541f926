"""Frames: u32 header length, u32 body length, capnp header, raw body."""

import struct

import attrs

from filbertlift_core import exceptions as core_exceptions
from filbertlift_wire import conversion
from filbertlift_wire import exceptions
from filbertlift_wire import messages

MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 262_144
LENGTHS = struct.Struct(">II")
CALL_MESSAGES = frozenset(
    (
        messages.Call,
        messages.Answer,
        messages.Chunk,
        messages.Credit,
        messages.Cancel,
        messages.Cancelled,
        messages.Settle,
        messages.Settled,
    )
)


def is_call_message(message: messages.Message) -> bool:
    """Returns whether a message belongs to a call, not to control."""
    return type(message) in CALL_MESSAGES


def join_frame(header: bytes, body: bytes) -> bytes:
    """Returns a frame.

    Raises:
        WireError: if a part is over its limit.
    """
    if len(header) > MAX_HEADER_BYTES:
        raise exceptions.WireError(
            "too-large", f"header of {len(header)} bytes"
        )
    if len(body) > MAX_BODY_BYTES:
        raise exceptions.WireError("too-large", f"body of {len(body)} bytes")
    return LENGTHS.pack(len(header), len(body)) + header + body


def encode_message(message: messages.Message) -> bytes:
    """Returns the frame of a message.

    Raises:
        WireError: if a value does not fit its field or a limit is exceeded.
    """
    kind = conversion.KINDS[type(message)]
    values = conversion.convert_fields(message, kind)
    header = conversion.write_header(kind, values)
    return join_frame(header, getattr(message, "body", b""))


def decode_frame(header: bytes, body: bytes) -> messages.Message:
    """Returns the message of a frame.

    Raises:
        WireError: if the frame is malformed.
    """
    kind, values = conversion.read_header(header)
    try:
        fields = conversion.read_fields(values, kind)
    except (
        KeyError,
        IndexError,
        ValueError,
        core_exceptions.ModelError,
    ) as error:
        raise exceptions.WireError("malformed", str(error)) from error
    if "body" in attrs.fields_dict(kind.record):
        fields["body"] = body
    elif body:
        raise exceptions.WireError("malformed", f"{kind.name} has a body")
    return conversion.build_record(kind, fields)


class FrameReader:
    """Collects received bytes into messages.

    At most one incomplete frame and the bytes of one `feed` are held.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[messages.Message]:
        """Returns the messages completed by these bytes.

        Raises:
            WireError: if the bytes are malformed; the reader is then useless.
        """
        buffer = self._buffer
        buffer += data
        found = []
        start = 0
        while len(buffer) - start >= LENGTHS.size:
            header_size, body_size = LENGTHS.unpack_from(buffer, start)
            check_sizes(header_size, body_size)
            header_start = start + LENGTHS.size
            body_start = header_start + header_size
            end = body_start + body_size
            if len(buffer) < end:
                break
            header = bytes(buffer[header_start:body_start])
            found.append(decode_frame(header, bytes(buffer[body_start:end])))
            start = end
        del buffer[:start]
        return found


def check_sizes(header_size: int, body_size: int) -> None:
    """Refuses a frame before its bytes are collected.

    Raises:
        WireError: if a size is over its limit.
    """
    if header_size > MAX_HEADER_BYTES or body_size > MAX_BODY_BYTES:
        raise exceptions.WireError(
            "too-large", f"frame of {header_size} + {body_size} bytes"
        )
