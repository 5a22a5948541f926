"""Tests of the codec of frames."""

import contextlib
import pathlib
import struct
from typing import Any

import attrs
import capnp
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from filbertlift_core import model
from filbertlift_wire import conversion
from filbertlift_wire import exceptions
from filbertlift_wire import frames
from filbertlift_wire import messages

TEXTS = st.text(st.characters(exclude_categories=("Cs",)), max_size=20)
LINES = st.text(
    st.characters(exclude_categories=("Cs",), exclude_characters="\r\n\0"),
    max_size=20,
)
WORDS = st.text(st.characters(codec="ascii", categories=("L", "N")), min_size=1)
ADDRESSES = st.builds(
    model.Address, st.just("127.0.0.1"), st.integers(0, model.MAX_PORT)
)
MEMBERS = st.builds(
    model.Member,
    address=ADDRESSES,
    place=st.builds(model.Place, TEXTS, TEXTS),
    service=TEXTS,
    target=ADDRESSES,
    incarnation=st.integers(0, 2**64 - 1),
    state=st.sampled_from(model.MemberState),
    status=ADDRESSES,
)
BY_TYPE: dict[Any, st.SearchStrategy] = {
    int: st.integers(0, 255),
    messages.U16: st.integers(0, 2**16 - 1),
    messages.U32: st.integers(0, 2**32 - 1),
    messages.U63: st.integers(0, 2**63 - 2),
    messages.Line: LINES,
    messages.Word: WORDS,
    bool: st.booleans(),
    str: TEXTS,
    bytes: st.binary(max_size=20),
    model.Outcome: st.sampled_from(model.Outcome),
    model.Address: ADDRESSES,
    model.Member: MEMBERS,
    tuple[str, ...]: st.lists(TEXTS, max_size=3).map(tuple),
    tuple[model.Member, ...]: st.lists(MEMBERS, max_size=3).map(tuple),
}
BY_TYPE[tuple[messages.Header, ...]] = st.lists(
    st.builds(messages.Header, WORDS, LINES), max_size=3
).map(tuple)
BY_TYPE[tuple[messages.DigestEntry, ...]] = st.lists(
    st.builds(messages.DigestEntry, TEXTS, TEXTS), max_size=3
).map(tuple)


def make_strategy(message_class: type) -> st.SearchStrategy:
    return st.builds(
        message_class,
        *(BY_TYPE[field.type] for field in attrs.fields(message_class)),
    )


MESSAGES = st.one_of(
    [
        make_strategy(message_class)
        for message_class in messages.Message.__args__
    ]
)
CALL = messages.Call(
    stream=7,
    call_id=b"id",
    caller="enquiry-desk",
    token="token",
    service="archive",
    method="GET",
    path="/status?x=1",
    headers=(messages.Header("Accept", "*/*"),),
    deadline_ms=2_000,
    version=17,
    depth=1,
    attempt=1,
    incarnation=2**40,
    keyed=True,
    fingerprint=b"",
    asker="id",
    more=False,
    body=b"body",
)


def split_frame(frame: bytes) -> tuple[int, bytes, bytes]:
    kind, size, _ = frames.PREFIX.unpack_from(frame)
    body_start = frames.PREFIX.size + size
    return kind, frame[frames.PREFIX.size : body_start], frame[body_start:]


@given(st.lists(MESSAGES, max_size=4), st.integers(1, 50))
def test_messages_round_trip_for_any_split_of_the_bytes(
    sent: list[messages.Message], size: int
) -> None:
    """Guards against depending on how TCP splits the bytes."""
    data = b"".join(map(frames.encode_message, sent))
    reader = frames.FrameReader()
    decoded = []
    for start in range(0, len(data), size):
        decoded += reader.feed(data[start : start + size])
    assert decoded == sent
    assert reader.call_bytes + reader.control_bytes == len(data)


@given(
    st.one_of(
        [
            make_strategy(message_class)
            for message_class in messages.CALL_MESSAGES
        ]
    )
)
def test_call_messages_are_not_encoded_by_pycapnp(
    message: messages.Message,
) -> None:
    """Guards against spending 0.3 ms in pycapnp on each call."""
    kind, header, _ = split_frame(frames.encode_message(message))
    assert kind != frames.CONTROL
    assert not header


@given(st.binary(max_size=300))
@example(frames.PREFIX.pack(0, 2**32 - 1, 0))
@example(frames.PREFIX.pack(0, 0, 0))
def test_hostile_bytes_raise_only_wire_errors(data: bytes) -> None:
    """Guards against unhandled errors on malformed input."""
    with contextlib.suppress(exceptions.WireError):
        frames.FrameReader().feed(data)


@given(MESSAGES, st.data())
def test_damaged_frames_raise_only_wire_errors(
    message: messages.Message, data: st.DataObject
) -> None:
    """Guards against unhandled errors on damaged pointers, texts and sizes."""
    frame = bytearray(frames.encode_message(message))
    for _ in range(data.draw(st.integers(1, 4))):
        index = data.draw(st.integers(0, len(frame) - 1))
        frame[index] = data.draw(st.integers(0, 255))
    with contextlib.suppress(exceptions.WireError):
        frames.FrameReader().feed(bytes(frame))


@pytest.mark.parametrize(
    "sizes",
    [
        (0, frames.MAX_HEADER_BYTES + 1, 0),
        (0, 0, frames.MAX_BODY_BYTES + 1),
        (1, 0, frames.MAX_BODY_BYTES + frames.MAX_HEADER_BYTES + 1),
    ],
)
def test_frame_over_a_limit_is_refused_at_its_prefix(
    sizes: tuple[int, int, int],
) -> None:
    """Guards against buffering the bytes of a frame that is over a limit."""
    with pytest.raises(exceptions.WireError, match="too-large"):
        frames.FrameReader().feed(frames.PREFIX.pack(*sizes))


@pytest.mark.parametrize(
    "changes",
    [
        {"body": bytes(frames.MAX_BODY_BYTES + 1)},
        {"path": "x" * frames.MAX_HEADER_BYTES},
        {"stream": -1},
        {"stream": 2**32},
        {"caller": "\ud800"},
        {"headers": (messages.Header("a", "b\nc"),)},
    ],
)
def test_messages_out_of_range_are_not_encoded(
    changes: dict[str, Any],
) -> None:
    """Guards against sending a frame for which the peer closes the link."""
    with pytest.raises(exceptions.WireError):
        frames.encode_message(attrs.evolve(CALL, **changes))


def test_claimed_length_of_a_list_is_limited() -> None:
    """Guards against a short header that declares 268 million members."""
    root_pointer = (1 << 32) | (1 << 48)
    gossip = 7
    words = [root_pointer, gossip, 1 << 48, 1 | 7 << 32, 2**28 << 2]
    header = struct.pack(f"<II{len(words)}Q", 0, len(words), *words)
    with pytest.raises(exceptions.WireError, match="traversal limit"):
        frames.FrameReader().feed(frames.join_frame(header, b""))


def test_unknown_fields_are_ignored(tmp_path: pathlib.Path) -> None:
    """Guards against an upgrade that older nodes cannot decode."""
    kind, header, body = split_frame(frames.encode_message(CALL))
    values = msgspec.msgpack.decode(body) | {"new": "text"}
    newer = msgspec.msgpack.encode(values)
    assert frames.decode_frame(kind, header, newer) == CALL
    path = pathlib.Path(conversion.__file__).with_name("schema.capnp")
    text = path.read_text().replace(
        "baseVersion @0 :UInt64;\n}",
        "baseVersion @0 :UInt64;\n  new @1 :Text;\n}",
    )
    schema = tmp_path / "newer.capnp"
    # A process may load a schema id only once.
    schema.write_text(
        text.replace("@0xd3a9c47b15e60f82", "@0xd3a9c47b15e60f83")
    )
    message = capnp.load(str(schema)).Header.new_message(
        fetch={"baseVersion": 4, "new": "text"}
    )
    decoded = frames.decode_frame(frames.CONTROL, message.to_bytes(), b"")
    assert decoded == messages.Fetch(4)


def test_unexpected_body_is_refused() -> None:
    """Guards against ignoring bytes that follow a control message."""
    _, header, _ = split_frame(frames.encode_message(messages.Fetch(1)))
    frame = frames.join_frame(header, b"x")
    with pytest.raises(exceptions.WireError, match="malformed"):
        frames.FrameReader().feed(frame)
