"""Messages between nodes and their frames: u32 length, u8 kind, msgpack."""

import struct
from typing import Any
from typing import Final

import attrs
import msgspec

from filbertlift_sidecar import exceptions

PREFIX: Final = struct.Struct(">IB")
# A whole request or answer fits; larger answers travel in chunks.
MAX_FRAME_BYTES: Final = 80 * 1024 * 1024

# Stands in a fragment in place of the bytes that follow.
WITHDRAWN: Final = -1

# Name and value of each HTTP header.
Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Call:
    """A call for the target beside the receiver.

    Attributes:
        stream: number of the call on this link.
        request_id: id that the caller gave.
        service: service that the call was routed to.
        method: HTTP method.
        path: HTTP target with query.
        headers: headers for the target, without framing.
        body: the whole body.
        left_ms: milliseconds that the caller still waits.
        objective_ms: milliseconds until the answer loses value.
        max_wait_ms: longest wait for a slot that the sender accepts.
        work_class: calls of one class take similar times.
        priority: 0 goes first.
        is_idempotent: whether it may run more than once.
    """

    stream: int
    request_id: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    left_ms: int
    objective_ms: int
    max_wait_ms: int
    work_class: str
    priority: int
    is_idempotent: bool


@attrs.frozen
class Answer:
    """End of a call, or with `more` the head of a streamed answer.

    Attributes:
        stream: number of the call.
        end: an `AttemptEnd`.
        reason: what decided it, for logs.
        status: HTTP status of the target, 0 when there is none.
        headers: headers of the target.
        body: the body or its first part.
        length: bytes of the whole body, -1 when not known.
        more: whether chunks follow.
        busy: calls that run or wait at this target now.
        service_us: how long the target took, in microseconds; 0 when it says
            nothing about its speed.
        wait_us: how long the call waited for a slot, in microseconds.
        mean_us: mean service time of the call's class at this target, in
            microseconds; 0 before one was measured.
        retry_after_ms: when there should be room.
        target_id: the target that was asked.
    """

    stream: int
    end: int
    reason: str
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    length: int = -1
    more: bool = False
    busy: int = 0
    service_us: int = 0
    retry_after_ms: int = 0
    target_id: str = ""
    wait_us: int = 0
    mean_us: int = 0


@attrs.frozen
class Chunk:
    """Further part of a streamed answer; `failed` when it stays incomplete."""

    stream: int
    body: bytes
    is_last: bool
    failed: bool


@attrs.frozen
class Fragment:
    """Part of the frame of another message of a stream.

    Attributes:
        stream: number of the call.
        data: the bytes.
        left: bytes that follow, or `WITHDRAWN` when none will.
    """

    stream: int
    data: bytes
    left: int


@attrs.frozen
class Cancel:
    """The caller is gone or has been answered."""

    stream: int


@attrs.frozen
class Ping:
    """Asks for a pong; shows that the link still carries bytes both ways."""

    number: int


@attrs.frozen
class Pong:
    """Answer to a ping."""

    number: int


@attrs.frozen
class ConfigurationRequest:
    """Asks for a configuration newer than the given version."""

    after_version: int


@attrs.frozen
class ConfigurationReply:
    """The configuration in force at the sender.

    Attributes:
        version: its number.
        value: its bytes as the store holds them, or the difference from the
            base, compressed by zlib.
        base_version: number of the base, -1 for a whole value.
    """

    version: int
    value: bytes
    base_version: int = -1


Message = (
    Call
    | Answer
    | Chunk
    | Cancel
    | Ping
    | Pong
    | ConfigurationRequest
    | ConfigurationReply
    | Fragment
)
_KINDS: Final[tuple[type, ...]] = (
    Call,
    Answer,
    Chunk,
    Cancel,
    Ping,
    Pong,
    ConfigurationRequest,
    ConfigurationReply,
    Fragment,
)
_NUMBERS: Final = {kind: number for number, kind in enumerate(_KINDS)}
_FIELDS: Final = {
    kind: tuple(field.name for field in attrs.fields(kind)) for kind in _KINDS
}
_ENCODER: Final = msgspec.msgpack.Encoder()


def _make_decoder(kind: type) -> Any:
    types = tuple(field.type for field in attrs.fields(kind))
    return msgspec.msgpack.Decoder(tuple[types])  # type: ignore[valid-type]


_DECODERS: Final = tuple(_make_decoder(kind) for kind in _KINDS)


def encode_message(message: Message) -> bytes:
    """Returns the frame of a message."""
    kind = type(message)
    data = _ENCODER.encode([getattr(message, name) for name in _FIELDS[kind]])
    return PREFIX.pack(len(data), _NUMBERS[kind]) + data


def decode_message(number: int, data: bytes | memoryview) -> Message:
    """Returns the message of a frame.

    Raises:
        FrameError: if the kind is unknown or the content does not fit it.
    """
    if number >= len(_KINDS):
        raise exceptions.FrameError(f"unknown kind {number}")
    try:
        message: Message = _KINDS[number](*_DECODERS[number].decode(data))
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise exceptions.FrameError(str(error)) from error
    return message


@attrs.define(eq=False)
class FrameReader:
    """Collects received bytes into messages, and fragments into frames."""

    _held: bytearray = attrs.field(factory=bytearray)
    _fragments: dict[int, bytearray] = attrs.field(factory=dict)

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages completed by these bytes.

        Raises:
            FrameError: if they are no frames.
        """
        held = self._held
        held += data
        found: list[Message] = []
        start = 0
        while len(held) - start >= PREFIX.size:
            size, number = PREFIX.unpack_from(held, start)
            if size > MAX_FRAME_BYTES:
                raise exceptions.FrameError(f"frame of {size} bytes")
            end = start + PREFIX.size + size
            if len(held) < end:
                break
            message = decode_message(
                number, bytes(held[start + PREFIX.size : end])
            )
            if isinstance(message, Fragment):
                found += self._join(message)
            else:
                found.append(message)
            start = end
        if start:
            del held[:start]
        return found

    def _join(self, fragment: Fragment) -> list[Message]:
        """Returns the message that a fragment completes."""
        joined = self._fragments.setdefault(fragment.stream, bytearray())
        joined += fragment.data
        if fragment.left > 0 and len(joined) <= MAX_FRAME_BYTES:
            return []
        del self._fragments[fragment.stream]
        if fragment.left == WITHDRAWN:
            return []
        if len(joined) < PREFIX.size or len(joined) > MAX_FRAME_BYTES:
            raise exceptions.FrameError(f"{len(joined)} bytes in fragments")
        size, number = PREFIX.unpack_from(joined)
        if size != len(joined) - PREFIX.size:
            raise exceptions.FrameError("fragments are no frame")
        return [decode_message(number, bytes(joined[PREFIX.size :]))]
