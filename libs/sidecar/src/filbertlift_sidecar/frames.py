"""Messages between nodes and their frames.

A frame is the length (u32) and kind (u8) of a message and its fields in
msgpack.

Unlike `filbertlift_wire.messages` and `filbertlift_wire.frames`, it has no
messages for settlements or members, and encodes every message in msgpack.
"""

import struct
from typing import Annotated
from typing import Any
from typing import Final

import attrs
import msgspec

from filbertlift_core import decoding
from filbertlift_mesh import outcomes
from filbertlift_sidecar import exceptions

PREFIX: Final = struct.Struct(">IB")
# Limit for a frame, which holds a whole request or buffered answer; larger
# answers are sent in chunks.
MAX_FRAME_BYTES: Final = 80 * 1024 * 1024

# Value of `Fragment.left` when the rest of the frame will not be sent.
WITHDRAWN: Final = -1

_End = Annotated[int, msgspec.Meta(ge=0, le=int(max(outcomes.AttemptEnd)))]
_Status = Annotated[int, msgspec.Meta(ge=0, le=999)]
_Length = Annotated[int, msgspec.Meta(ge=-1, le=decoding.MAX_COUNT)]
_BodyLeft = Annotated[int, msgspec.Meta(ge=WITHDRAWN, le=decoding.MAX_COUNT)]
_Left = Annotated[int, msgspec.Meta(ge=WITHDRAWN, le=MAX_FRAME_BYTES)]

# Names and values of HTTP headers.
Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Call:
    """A call for the target on the receiver's host.

    Attributes:
        stream: number of the call on this link.
        request_id: id that the caller set.
        service: service that the call was routed to.
        method: HTTP method.
        path: HTTP target with query.
        headers: headers for the target, without those of framing.
        body: the whole body.
        left_ms: milliseconds until the call's deadline.
        objective_ms: milliseconds until an answer has less value.
        max_wait_ms: longest wait for a slot that the sender accepts, in
            milliseconds.
        work_class: class of calls with similar service times.
        priority: priority of the call; 0 is the highest.
        is_idempotent: whether the call may run more than once.
    """

    stream: decoding.Count
    request_id: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    left_ms: decoding.Milliseconds
    objective_ms: decoding.Milliseconds
    max_wait_ms: decoding.Milliseconds
    work_class: str
    priority: decoding.Count
    is_idempotent: bool


@attrs.frozen
class LargeCall(Call):
    """A call whose body follows in parts once the receiver asks for it.

    It is a kind of its own, so that hosts that do not know it still get calls
    with small bodies.

    Attributes:
        body_bytes: size of the body.
    """

    body_bytes: decoding.Count

    @classmethod
    def from_call(cls, call: Call) -> "LargeCall":
        """Returns the head of a call, without its body."""
        fields = attrs.asdict(call, recurse=False)
        return cls(**{**fields, "body": b"", "body_bytes": len(call.body)})


@attrs.frozen
class BodyRequest:
    """Asks for the body of a call, for which the receiver now has memory."""

    stream: decoding.Count


@attrs.frozen
class BodyPart:
    """Part of the body of a call.

    Attributes:
        stream: number of the call.
        data: the part of the body.
        left: number of bytes that follow, or `WITHDRAWN` if the rest will not
            be sent.
    """

    stream: decoding.Count
    data: bytes
    left: _BodyLeft


@attrs.frozen
class Answer:
    """End of a call or, if `more` is set, the head of a streamed answer.

    Attributes:
        stream: number of the call.
        end: how the call ended, an `AttemptEnd`.
        reason: why it ended that way.
        status: HTTP status of the target, 0 if there is none.
        headers: headers of the target's answer.
        body: the body or its first part.
        length: length of the whole body in bytes, -1 if unknown.
        more: whether chunks follow.
        busy: number of calls that run or wait at this target.
        service_us: service time of the call, in microseconds; 0 if the call is
            no sample of it.
        retry_after_ms: expected milliseconds until a slot is free.
        target_id: id of the target that the call was sent to.
        wait_us: how long the call waited for a slot, in microseconds.
        mean_us: mean service time of the call's class at this target, in
            microseconds; 0 if there is no sample yet.
    """

    stream: decoding.Count
    end: _End
    reason: str
    status: _Status = 0
    headers: Headers = ()
    body: bytes = b""
    length: _Length = -1
    more: bool = False
    busy: decoding.Count = 0
    service_us: decoding.Count = 0
    retry_after_ms: decoding.Milliseconds = 0
    target_id: str = ""
    wait_us: decoding.Count = 0
    mean_us: decoding.Count = 0


@attrs.frozen
class Chunk:
    """Further part of a streamed answer.

    Attributes:
        stream: number of the call.
        body: the part of the body.
        is_last: whether no part follows.
        failed: whether the body remains incomplete.
    """

    stream: decoding.Count
    body: bytes
    is_last: bool
    failed: bool


@attrs.frozen
class Fragment:
    """Part of the frame of another message of a stream.

    Attributes:
        stream: number of the call.
        data: the part of the frame.
        left: number of bytes that follow, or `WITHDRAWN` if the rest will not
            be sent.
    """

    stream: decoding.Count
    data: bytes
    left: _Left


@attrs.frozen
class Cancel:
    """Withdraws a call whose caller is gone or has been answered."""

    stream: decoding.Count


@attrs.frozen
class Pause:
    """Stops or resumes the reading of a streamed answer at its target.

    Attributes:
        stream: number of the call.
        is_paused: whether the caller does not take more of the answer now.
    """

    stream: decoding.Count
    is_paused: bool


@attrs.frozen
class Ping:
    """Asks for a pong, which shows that the link works in both directions."""

    number: decoding.Count


@attrs.frozen
class Pong:
    """Answer to a ping."""

    number: decoding.Count


@attrs.frozen
class ConfigurationRequest:
    """Asks for a configuration newer than the given version."""

    after_version: decoding.Version


@attrs.frozen
class ConfigurationReply:
    """The configuration in force at the sender.

    Attributes:
        version: number of the version.
        value: the value in the store, or its delta from the base, compressed
            with zlib.
        base_version: number of the base, -1 for a whole value.
    """

    version: decoding.Version
    value: bytes
    base_version: decoding.Version = -1


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
    | Pause
    | LargeCall
    | BodyRequest
    | BodyPart
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
    Pause,
    LargeCall,
    BodyRequest,
    BodyPart,
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
        FrameError: if the kind is unknown or the content does not match it.
    """
    if number >= len(_KINDS):
        raise exceptions.FrameError(f"unknown kind {number}")
    try:
        message: Message = _KINDS[number](*_DECODERS[number].decode(data))
    except decoding.DECODE_ERRORS as error:
        raise exceptions.FrameError(str(error)) from error
    return message


@attrs.define(eq=False)
class FrameReader:
    """Reassembles messages from received bytes and from fragments."""

    _buffer: bytearray = attrs.field(factory=bytearray)
    _fragments: dict[int, bytearray] = attrs.field(factory=dict)
    # Bytes of all incomplete frames in `_fragments`.
    _joined_bytes: int = 0

    def feed(self, data: bytes) -> list[Message]:
        """Returns the messages completed by these bytes.

        Raises:
            FrameError: if the bytes are not valid frames.
        """
        buffer = self._buffer
        buffer += data
        messages: list[Message] = []
        start = 0
        while len(buffer) - start >= PREFIX.size:
            size, number = PREFIX.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                raise exceptions.FrameError(f"frame of {size} bytes")
            end = start + PREFIX.size + size
            if len(buffer) < end:
                break
            with memoryview(buffer)[start + PREFIX.size : end] as view:
                message = decode_message(number, view)
            if isinstance(message, Fragment):
                messages += self._join_fragment(message)
            else:
                messages.append(message)
            start = end
        if start:
            del buffer[:start]
        return messages

    def _join_fragment(self, fragment: Fragment) -> list[Message]:
        """Returns the message that a fragment completes, if any."""
        joined = self._fragments.setdefault(fragment.stream, bytearray())
        joined += fragment.data
        self._joined_bytes += len(fragment.data)
        if self._joined_bytes > MAX_FRAME_BYTES:
            raise exceptions.FrameError(
                f"{self._joined_bytes} bytes in fragments"
            )
        if fragment.left > 0:
            return []
        del self._fragments[fragment.stream]
        self._joined_bytes -= len(joined)
        if fragment.left == WITHDRAWN:
            return []
        if len(joined) < PREFIX.size:
            raise exceptions.FrameError(f"{len(joined)} bytes in fragments")
        size, number = PREFIX.unpack_from(joined)
        if size != len(joined) - PREFIX.size:
            raise exceptions.FrameError("fragments are no frame")
        return [decode_message(number, memoryview(joined)[PREFIX.size :])]
