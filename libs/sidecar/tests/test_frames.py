"""Tests of the frames of links on input that other nodes may send."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from filbertlift_mesh import outcomes
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames

CALL = frames.Call(
    1, "r-1", "a", "GET", "/", (("a", "b"),), b"x", 1000, -4, 0, "safe", 1, True
)
ANSWER = frames.Answer(1, outcomes.AttemptEnd.ANSWERED, "ok", 200)
MESSAGES = (
    CALL,
    ANSWER,
    frames.Chunk(1, b"x", True, False),
    frames.Cancel(1),
    frames.Ping(1),
    frames.ConfigurationRequest(-1),
    frames.ConfigurationReply(7, b"x"),
    frames.Fragment(1, b"x", 4),
    frames.Pause(1, True),
    frames.LargeCall.from_call(CALL),
    frames.BodyRequest(1),
    frames.BodyPart(1, b"x", 4),
)
ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.floats(),
    strategies.integers(-(2**63), 2**64 - 1),
    strategies.sampled_from(
        [-1, 5, 1000, 2**31, 2**53, 2**64 - 1, "x", [], {}]
    ),
)


def encode(kind, fields):
    data = msgspec.msgpack.encode(fields)
    return frames.PREFIX.pack(len(data), kind) + data


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_is_read_back(message):
    reader = frames.FrameReader()
    expected = [] if isinstance(message, frames.Fragment) else [message]
    assert reader.feed(frames.encode_message(message)) == expected


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_read_or_rejected(data):
    """Guards against bytes that raise past the link."""
    try:
        frames.FrameReader().feed(data)
    except exceptions.FrameError:
        return


@hypothesis.given(
    strategies.sampled_from(MESSAGES), strategies.integers(0, 20), ODD_VALUES
)
def test_an_odd_field_is_rejected_or_can_be_sent_on(message, index, value):
    """Guards against a number that raises in the code behind the decoder."""
    number = frames._NUMBERS[type(message)]
    fields = [getattr(message, name) for name in frames._FIELDS[type(message)]]
    fields[index % len(fields)] = value
    data = encode(number, fields)[frames.PREFIX.size :]
    try:
        found = frames.decode_message(number, data)
    except exceptions.FrameError:
        return
    frames.encode_message(found)
    if isinstance(found, frames.Answer):
        outcomes.AttemptEnd(found.end)


@pytest.mark.parametrize(
    ("message", "name", "value"),
    [
        (ANSWER, "end", 9),
        (ANSWER, "end", -1),
        (ANSWER, "status", 70_000),
        (ANSWER, "retry_after_ms", 2**40),
        (ANSWER, "length", -2),
        (ANSWER, "busy", 2**63),
        (CALL, "left_ms", 2**40),
        (CALL, "priority", -1),
        (frames.ConfigurationRequest(1), "after_version", 2**32),
        (frames.ConfigurationReply(1, b""), "version", 2**32),
        (frames.Fragment(1, b"", 0), "left", -2),
    ],
)
def test_a_number_out_of_range_is_rejected(message, name, value):
    names = frames._FIELDS[type(message)]
    fields = [value if key == name else getattr(message, key) for key in names]
    with pytest.raises(exceptions.FrameError):
        frames.FrameReader().feed(
            encode(frames._NUMBERS[type(message)], fields)
        )


def test_deep_nesting_is_rejected():
    data = b"\x91" * 200_000
    with pytest.raises(exceptions.FrameError):
        frames.decode_message(0, data)


def test_the_fragments_of_all_streams_are_limited(monkeypatch):
    """Guards against memory that grows with fragments that never end."""
    monkeypatch.setattr(frames, "MAX_FRAME_BYTES", 10_000)
    reader = frames.FrameReader()
    with pytest.raises(exceptions.FrameError):
        for stream in range(20):
            fragment = frames.Fragment(stream, b"x" * 1_000, 4)
            reader.feed(frames.encode_message(fragment))


def test_withdrawn_and_completed_fragments_do_not_count(monkeypatch):
    """Guards against a link that is closed after enough large answers."""
    monkeypatch.setattr(frames, "MAX_FRAME_BYTES", 10_000)
    reader = frames.FrameReader()
    whole = frames.encode_message(frames.Ping(1))
    for stream in range(20):
        for fragment in (
            frames.Fragment(stream, b"x" * 1_000, 4),
            frames.Fragment(stream, b"", frames.WITHDRAWN),
            frames.Fragment(stream, whole[:4], 4),
            frames.Fragment(stream, whole[4:], 0),
        ):
            reader.feed(frames.encode_message(fragment))
    assert reader._joined_bytes == 0


def test_a_call_with_a_small_body_has_the_frame_of_earlier_versions():
    """Guards against links that close while versions are mixed."""
    frame = frames.encode_message(CALL)
    assert frame[frames.PREFIX.size - 1] == 0
    assert len(msgspec.msgpack.decode(frame[frames.PREFIX.size :])) == 13
