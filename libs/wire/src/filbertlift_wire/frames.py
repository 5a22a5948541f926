"""Frames: u32 header length, u32 body length, capnp header, raw body."""

import struct
from typing import Any

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
    header = conversion.encode_header(kind, message)
    if isinstance(message, messages.Update):
        sections = (section.data for section in message.changed)
        return join_frame(header, b"".join((message.head, *sections)))
    return join_frame(header, getattr(message, "body", b""))


def split_update(values: dict[str, Any], body: bytes) -> dict[str, Any]:
    """Returns the fields of an update that travel in the raw body.

    Raises:
        WireError: if the sizes do not add up to the body.
    """
    end = values["headBytes"]
    fields: dict[str, Any] = {"head": body[:end]}
    sections = []
    for section in values["changed"]:
        start, end = end, end + section["bytes"]
        sections.append(messages.SectionData(section["name"], body[start:end]))
    if end != len(body):
        raise exceptions.WireError("malformed", "sizes differ from the body")
    fields["changed"] = tuple(sections)
    return fields


def decode_frame(header: bytes, body: bytes) -> messages.Message:
    """Returns the message of a frame.

    Raises:
        WireError: if the frame is malformed.
    """
    message = conversion.decode_header(header, body)
    if message is not None:
        return message
    kind, values = conversion.read_header(header)
    if kind.record is messages.Update:
        raw = split_update(values, body)
        return conversion.build_record(kind, values, **raw)
    if kind.has_body:
        return conversion.build_record(kind, values, body=body)
    if body:
        raise exceptions.WireError("malformed", f"{kind.name} has a body")
    return conversion.build_record(kind, values)


class FrameReader:
    """Collects received bytes into messages.

    At most one incomplete frame and the bytes of one `feed` are held.

    Attributes:
        max_header_bytes: limit of a header. It is lower for a peer that is
            not authenticated, because a header of 64 KB can take 0.3 s to
            read (16,000 members of zero size).
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
        self._held = 0
        self._needed = LENGTHS.size

    def feed(self, data: bytes) -> list[messages.Message]:
        """Returns the messages completed by these bytes.

        Raises:
            WireError: if the bytes are malformed; the reader is then useless.
        """
        if self._parts:
            self._parts.append(data)
            self._held += len(data)
            if self._held < self._needed:
                return []
            data = b"".join(self._parts)
            self._parts.clear()
        return self._read_frames(data)

    def _read_frames(self, data: bytes) -> list[messages.Message]:
        found: list[messages.Message] = []
        start = 0
        length = len(data)
        needed = LENGTHS.size
        while length - start >= LENGTHS.size:
            header_size, body_size = LENGTHS.unpack_from(data, start)
            self._check_sizes(header_size, body_size)
            needed = LENGTHS.size + header_size + body_size
            if length - start < needed:
                break
            middle = start + LENGTHS.size + header_size
            end = start + needed
            message = decode_frame(
                data[start + LENGTHS.size : middle], data[middle:end]
            )
            self._count(message, needed)
            found.append(message)
            start = end
            needed = LENGTHS.size
        if start < length:
            self._parts.append(data[start:])
        self._held = length - start
        self._needed = needed
        return found

    def _check_sizes(self, header_size: int, body_size: int) -> None:
        if header_size > self.max_header_bytes:
            raise exceptions.WireError(
                "too-large", f"header of {header_size} bytes"
            )
        if body_size > self.max_body_bytes:
            raise exceptions.WireError(
                "too-large", f"body of {body_size} bytes"
            )

    def _count(self, message: messages.Message, size: int) -> None:
        if is_call_message(message):
            self.call_bytes += size
        else:
            self.control_bytes += size
