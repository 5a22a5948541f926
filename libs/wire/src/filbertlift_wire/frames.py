"""Frames: u8 kind, u32 header length, u32 body length, header, body.

Kind 0 has a capnp header and a raw body. The other kinds are the messages of
calls, whose body is the whole message, encoded by msgspec: pycapnp takes about
1 microsecond to set a field and 1.6 to read one, 0.3 ms for the four
conversions of a call over two hops, out of the 0.53 ms that the performance
target allows.
"""

import struct
from typing import Any

import msgspec

from filbertlift_core import decoding
from filbertlift_wire import checks
from filbertlift_wire import conversion
from filbertlift_wire import exceptions
from filbertlift_wire import messages

MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 262_144
PREFIX = struct.Struct(">BII")
CONTROL = 0
_CALL_KINDS = {
    record: kind for kind, record in enumerate(messages.CALL_MESSAGES, 1)
}
_DECODERS: dict[int, msgspec.msgpack.Decoder[Any]] = {
    kind: msgspec.msgpack.Decoder(record)
    for record, kind in _CALL_KINDS.items()
}
_ENCODER = msgspec.msgpack.Encoder()


def is_call_message(message: messages.Message) -> bool:
    """Returns whether a message is sent in a call frame, not as control."""
    return type(message) in _CALL_KINDS


def join_frame(header: bytes, body: bytes) -> bytes:
    """Returns a control frame.

    Raises:
        WireError: if the header or the body exceeds its limit.
    """
    check_size("header", len(header), MAX_HEADER_BYTES)
    check_size("body", len(body), MAX_BODY_BYTES)
    return PREFIX.pack(CONTROL, len(header), len(body)) + header + body


def encode_message(message: messages.Message) -> bytes:
    """Returns the frame for a message.

    Raises:
        WireError: if a value does not fit its field or a limit is exceeded.
    """
    call_kind = _CALL_KINDS.get(type(message))
    if call_kind is None:
        header = conversion.encode_header(message)
        return join_frame(header, getattr(message, "body", b""))
    checks.check_call(message)
    try:
        data = _ENCODER.encode(message)
    except (msgspec.MsgspecError, OverflowError, UnicodeError) as error:
        raise exceptions.WireError("out-of-range", str(error)) from error
    message_body_size = len(getattr(message, "body", b""))
    check_size("body", message_body_size, MAX_BODY_BYTES)
    check_size("call", len(data) - message_body_size, MAX_HEADER_BYTES)
    return PREFIX.pack(call_kind, 0, len(data)) + data


def check_size(part: str, size: int, limit: int) -> None:
    """Raises WireError if a part exceeds its limit in bytes."""
    if size > limit:
        raise exceptions.WireError("too-large", f"{part} of {size} bytes")


def decode_frame(kind: int, header: bytes, body: bytes) -> messages.Message:
    """Returns the message in a frame.

    Raises:
        WireError: if the frame is malformed.
    """
    if kind == CONTROL:
        return conversion.decode_header(header, body)
    decoder = _DECODERS.get(kind)
    if decoder is None or header:
        raise exceptions.WireError("unknown-kind", str(kind))
    try:
        message: messages.Message = decoder.decode(body)
    except decoding.DECODE_ERRORS as error:
        raise exceptions.WireError("malformed", str(error)) from error
    return message


class FrameReader:
    """Assembles messages from received bytes.

    The reader buffers at most one incomplete frame and the bytes of one `feed`.

    Attributes:
        max_header_bytes: limit of a header. It is lower for a peer that is
            not authenticated, because a header of 64 KB can take 0.3 s to
            decode (16,000 members of zero size).
        max_body_bytes: limit of a body.
        call_bytes: bytes received in frames that belong to calls.
        control_bytes: bytes received in other frames.
    """

    def __init__(self) -> None:
        self.max_header_bytes = MAX_HEADER_BYTES
        self.max_body_bytes = MAX_BODY_BYTES
        self.call_bytes = 0
        self.control_bytes = 0
        self._parts: list[bytes] = []
        self._buffered_bytes = 0
        self._needed = PREFIX.size

    def feed(self, data: bytes) -> list[messages.Message]:
        """Returns the messages completed by these bytes.

        Raises:
            WireError: if the bytes are malformed. The reader must not be used
                after that.
        """
        if self._parts:
            self._parts.append(data)
            self._buffered_bytes += len(data)
            if self._buffered_bytes < self._needed:
                return []
            data = b"".join(self._parts)
            self._parts.clear()
        return self._read_frames(data)

    def _read_frames(self, data: bytes) -> list[messages.Message]:
        completed: list[messages.Message] = []
        start = 0
        length = len(data)
        needed = PREFIX.size
        while length - start >= PREFIX.size:
            kind, header_size, body_size = PREFIX.unpack_from(data, start)
            self._check_sizes(kind, header_size, body_size)
            needed = PREFIX.size + header_size + body_size
            if length - start < needed:
                break
            body_start = start + PREFIX.size + header_size
            end = start + needed
            message = decode_frame(
                kind,
                data[start + PREFIX.size : body_start],
                data[body_start:end],
            )
            self._count(message, needed)
            completed.append(message)
            start = end
            needed = PREFIX.size
        if start < length:
            self._parts.append(data[start:])
        self._buffered_bytes = length - start
        self._needed = needed
        return completed

    def _check_sizes(self, kind: int, header_size: int, body_size: int) -> None:
        # The body of a call frame is the whole message, with its headers.
        extra = MAX_HEADER_BYTES if kind != CONTROL else 0
        check_size("header", header_size, self.max_header_bytes)
        check_size("body", body_size, self.max_body_bytes + extra)

    def _count(self, message: messages.Message, size: int) -> None:
        if is_call_message(message):
            self.call_bytes += size
        else:
            self.control_bytes += size
