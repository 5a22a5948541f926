"""Tests of the codec of frames."""

import contextlib
from typing import Any

import attrs
from filbertlift_core import model
from filbertlift_wire import conversion
from filbertlift_wire import exceptions
from filbertlift_wire import frames
from filbertlift_wire import layouts
from filbertlift_wire import messages
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest

TEXTS = st.text(st.characters(exclude_categories=("Cs",)), max_size=20)
LINES = TEXTS.map(lambda text: text.replace("\n", ""))
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
    bool: st.booleans(),
    str: TEXTS,
    bytes: st.binary(max_size=20),
    model.Outcome: st.sampled_from(model.Outcome),
    model.Address: ADDRESSES,
    model.Member: MEMBERS,
    tuple[str, ...]: st.lists(TEXTS, max_size=3).map(tuple),
    tuple[model.Member, ...]: st.lists(MEMBERS, max_size=3).map(tuple),
}
for _record, _values in (
    (messages.Header, LINES),
    (messages.SectionData, TEXTS),
    (messages.DigestEntry, TEXTS),
):
    BY_TYPE[tuple[_record, ...]] = st.lists(
        st.builds(
            _record,
            *(
                st.binary(max_size=9) if field.type is bytes else _values
                for field in attrs.fields(_record)
            ),
        ),
        max_size=3,
    ).map(tuple)


def draw_record(record: type) -> st.SearchStrategy:
    return st.builds(
        record, *(BY_TYPE[field.type] for field in attrs.fields(record))
    )


MESSAGES = st.one_of(
    [draw_record(record) for record in messages.Message.__args__]
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
    more=False,
    body=b"body",
)


def split_frame(frame: bytes) -> tuple[bytes, bytes]:
    size, _ = frames.LENGTHS.unpack_from(frame)
    middle = frames.LENGTHS.size + size
    return frame[frames.LENGTHS.size : middle], frame[middle:]


@given(st.lists(MESSAGES, max_size=4), st.integers(1, 50))
def test_every_message_survives_any_split(
    sent: list[messages.Message], size: int
) -> None:
    """Guards against frames that depend on how TCP cuts them."""
    data = b"".join(map(frames.encode_message, sent))
    reader = frames.FrameReader()
    found = []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
    assert found == sent
    assert reader.call_bytes + reader.control_bytes == len(data)


@given(MESSAGES)
def test_direct_headers_are_capnp(message: messages.Message) -> None:
    """Guards against a layout that pycapnp reads otherwise, both ways."""
    kind = conversion.KINDS[type(message)]
    if kind.write is None or kind.read is None:
        return
    body = getattr(message, "body", b"")
    raw = {"body": body} if kind.has_body else {}
    found, values = conversion.read_header(kind.write(message))
    assert found is kind
    assert conversion.build_record(kind, values, **raw) == message
    fields = conversion.convert_fields(message, kind)
    assert kind.read(conversion.write_header(kind, fields), body) == message


def test_call_and_answer_are_written_directly() -> None:
    """Guards the call path against falling back to the slow codec."""
    for record in (messages.Call, messages.Answer, messages.Chunk):
        assert conversion.KINDS[record].write is not None


@given(st.binary(max_size=300))
@example(frames.LENGTHS.pack(2**32 - 1, 0))
@example(frames.LENGTHS.pack(0, 0))
def test_hostile_bytes_raise_only_wire_errors(data: bytes) -> None:
    """Guards against an unhandled error on hostile bytes."""
    with contextlib.suppress(exceptions.WireError):
        frames.FrameReader().feed(data)


@given(MESSAGES, st.data())
def test_damaged_frames_raise_only_wire_errors(
    message: messages.Message, data: st.DataObject
) -> None:
    """Guards against bad pointers, texts and sizes inside a header."""
    frame = bytearray(frames.encode_message(message))
    for _ in range(data.draw(st.integers(1, 4))):
        index = data.draw(st.integers(0, len(frame) - 1))
        frame[index] = data.draw(st.integers(0, 255))
    with contextlib.suppress(exceptions.WireError):
        frames.FrameReader().feed(bytes(frame))


@pytest.mark.parametrize(
    "sizes",
    [
        (frames.MAX_HEADER_BYTES + 1, 0),
        (0, frames.MAX_BODY_BYTES + 1),
    ],
)
def test_too_long_a_frame_is_refused_at_once(sizes: tuple[int, int]) -> None:
    """Guards against collecting bytes of a frame over the limits."""
    with pytest.raises(exceptions.WireError, match="too-large"):
        frames.FrameReader().feed(frames.LENGTHS.pack(*sizes))


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
def test_messages_that_do_not_fit_are_not_encoded(
    changes: dict[str, Any],
) -> None:
    """Guards against a frame that the peer drops the link for."""
    with pytest.raises(exceptions.WireError):
        frames.encode_message(attrs.evolve(CALL, **changes))


def test_lists_without_content_do_not_amplify() -> None:
    """Guards against a short header that claims 268 million members."""
    words = [layouts.ROOT_POINTER, 15, 1 << 48, 1 | 7 << 32, 2**28 << 2]
    header = layouts.struct.pack(f"<II{len(words)}Q", 0, len(words), *words)
    with pytest.raises(exceptions.WireError, match="traversal limit"):
        frames.FrameReader().feed(frames.join_frame(header, b""))


def test_unknown_fields_are_ignored() -> None:
    """Guards the upgrade from this wire version to the next one."""
    header, body = split_frame(frames.encode_message(CALL))
    # The next version adds a pointer at the end: every pointer that leads
    # over it becomes one word longer.
    kind = conversion.KINDS[messages.Call]
    _, values = conversion.read_header(header)
    layout = layouts.make_layout(conversion.SCHEMA, "call")
    assert layout is not None
    wider = attrs.evolve(
        layout,
        fixed=layouts.struct.Struct(layout.fixed.format + "Q"),
        pointer=layout.pointer + (1 << 48),
        texts=(*layout.texts, "new"),
        is_data=(*layout.is_data, False),
    )
    names = [*layout.names]
    newer = layouts.make_writer(wider)([*(values[n] for n in names), "new"])
    assert kind.read is not None
    assert kind.read(newer, body) is None
    assert frames.decode_frame(newer, body) == CALL


def test_a_body_where_none_belongs_is_refused() -> None:
    """Guards against bytes smuggled beside a control message."""
    header, _ = split_frame(frames.encode_message(messages.Fetch(1)))
    frame = frames.join_frame(header, b"x")
    with pytest.raises(exceptions.WireError, match="malformed"):
        frames.FrameReader().feed(frame)
