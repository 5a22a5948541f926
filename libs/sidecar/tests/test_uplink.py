"""Tests of the pacing of large messages."""

import pytest
from twisted.internet import task

from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames
from filbertlift_sidecar import uplink

SMALL = frames.Answer(1, 0, "ok", 200, (), b"x" * 300)
LARGE = frames.Answer(2, 0, "ok", 200, (), b"y" * 90_000)


class FakeLink:
    """Link that keeps the sent frames with their times."""

    def __init__(self, clock):
        self.clock = clock
        self.sent = []
        self.is_closed = False

    def send(self, message):
        self.send_frame(frames.encode_message(message))

    def send_frame(self, data):
        self.sent.append((self.clock.seconds(), data))

    def read(self):
        data = b"".join(data for _at, data in self.sent)
        return frames.FrameReader().feed(data)


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def link(clock):
    return FakeLink(clock)


@pytest.fixture
def narrow(clock):
    return uplink.Uplink.from_rate(clock, 3_500)


def run(clock, seconds):
    clock.pump([0.005] * int(seconds / 0.005))


def test_a_small_message_does_not_wait_behind_a_large_one(narrow, link, clock):
    """Guards against checks that wait for downloads on a narrow link.

    Seen on scale-1 of tussock-hq-grown.toml: checks of 30 ms took 276 ms at
    the median, 202 ms of it on the network.
    """
    narrow.send(link, 2, LARGE)
    before = sum(len(data) for _at, data in link.sent)
    narrow.send(link, 1, SMALL)
    assert before < 20_000
    assert SMALL in link.read()


def test_a_large_message_uses_half_of_its_receivers_link(narrow, link, clock):
    """Guards against other answers to a host that wait behind a download."""
    narrow.send(link, 2, LARGE)
    run(clock, 1.0)
    assert link.read() == [LARGE]
    whole_s = 90_000 * 8 / 3_500_000
    assert link.sent[-1][0] == pytest.approx(2 * whole_s, rel=0.3)


def test_large_messages_to_two_receivers_share_the_link(narrow, link, clock):
    other = FakeLink(clock)
    narrow.send(link, 2, LARGE)
    narrow.send(other, 2, LARGE)
    run(clock, 0.6)
    assert link.read() == [LARGE]
    assert other.read() == [LARGE]
    assert len(link.sent) > 1


def test_the_backlog_covers_all_queued_messages(narrow, link, clock):
    narrow.send(link, 2, LARGE)
    narrow.send(link, 3, LARGE)
    assert narrow.backlog_s == pytest.approx(0.48, rel=0.1)
    run(clock, 1.2)
    assert narrow.backlog_s == 0.0


def test_a_withdrawn_message_frees_the_link(narrow, link, clock):
    narrow.send(link, 2, LARGE)
    narrow.send(link, 3, SMALL)
    narrow.withdraw(link, 2)
    run(clock, 0.5)
    assert link.read() == [SMALL]
    assert narrow.backlog_s < 0.05


def test_messages_of_a_stream_stay_in_order(narrow, link, clock):
    """Guards against the end of a stream that arrives before its parts."""
    last = frames.Chunk(2, b"", True, False)
    narrow.send(link, 2, LARGE)
    narrow.send(link, 2, last)
    run(clock, 1.0)
    assert link.read() == [LARGE, last]


def test_queued_messages_of_a_lost_link_are_dropped(narrow, link, clock):
    narrow.send(link, 2, LARGE)
    narrow.withdraw(link)
    sent = len(link.sent)
    run(clock, 0.5)
    assert len(link.sent) == sent


def test_parts_of_other_data_carry_the_number_of_bytes_left(narrow, clock):
    parts = []
    narrow.offer(parts, 0, b"z" * 20_000, lambda *part: parts.append(part))
    run(clock, 0.2)
    assert b"".join(data for data, _left in parts) == b"z" * 20_000
    assert [left for _data, left in parts][-1] == 0


def test_a_wide_link_sends_at_once(link, clock):
    wide = uplink.Uplink.from_rate(clock, 1_000_000)
    wide.send(link, 2, LARGE)
    assert link.read() == [LARGE]


def test_fragments_that_form_no_frame_are_refused():
    data = frames.encode_message(frames.Fragment(1, b"abc", 0))
    with pytest.raises(exceptions.FrameError):
        frames.FrameReader().feed(data)


def test_data_waits_while_its_owner_takes_none(narrow, clock):
    """Guards against a body that is copied to the buffers of a full link."""
    written = []
    is_full = True
    narrow.offer(
        object(),
        1,
        memoryview(b"z" * 20_000),
        lambda part, _left: written.append(part),
        lambda: is_full,
    )
    run(clock, 0.5)
    assert written == []
    is_full = False
    run(clock, 0.5)
    assert b"".join(written) == b"z" * 20_000
