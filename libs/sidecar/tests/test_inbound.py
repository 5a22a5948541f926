"""Tests of calls that other nodes send to the keeper of this node."""

import attrs
from twisted.internet import task

from filbertlift_sidecar import frames
from filbertlift_sidecar import inbound
from filbertlift_sidecar import uplink


@attrs.define
class FakeKeeper:
    """Keeper that keeps what it is given; its calls are over at once."""

    is_backlogged: object = None
    is_over: bool = True
    pauses: list = attrs.Factory(list)

    def pause(self, kept, is_paused):
        assert kept is self
        self.pauses.append(is_paused)

    def submit(self, _call, _on_answer, _on_chunk, is_backlogged):
        self.is_backlogged = is_backlogged
        return self


@attrs.define(eq=False)
class FakeLink:
    """Link to a peer that reads, or does not."""

    is_full: bool = False


CALL = frames.Call(
    1, "r-1", "s", "GET", "/", (), b"", 4000, 400, 4000, "safe", 1, True
)


def test_streamed_answers_wait_while_the_link_is_backlogged():
    """Guards against a body without end that is queued for a narrow link."""
    clock = task.Clock()
    keeper = FakeKeeper()
    link = uplink.Uplink.from_rate(clock, 7_000)
    calls = inbound.InboundCalls(keeper, link, lambda *_: None)
    calls.receive(FakeLink(), CALL)
    assert not keeper.is_backlogged()
    link.offer(object(), 1, b"x" * 1_000_000, lambda _part, _left: None)
    assert keeper.is_backlogged()
    clock.pump([0.01] * 400)
    assert not keeper.is_backlogged()


def test_streamed_answers_wait_while_the_peer_does_not_read():
    """Guards against a body without end in the buffers of a slow connection."""
    clock = task.Clock()
    keeper = FakeKeeper()
    pacing = uplink.Uplink.from_rate(clock, 1_000_000)
    calls = inbound.InboundCalls(keeper, pacing, lambda *_: None)
    link = FakeLink()
    calls.receive(link, CALL)
    link.is_full = True
    assert keeper.is_backlogged()
    link.is_full = False
    assert not keeper.is_backlogged()


def test_streamed_answers_take_little_memory_on_a_wide_link():
    """Guards against a limit in seconds that is most of the memory in bytes."""
    keeper = FakeKeeper()
    pacing = uplink.Uplink.from_rate(task.Clock(), 1_000_000)
    calls = inbound.InboundCalls(keeper, pacing, lambda *_: None)
    calls.receive(FakeLink(), CALL)
    size = 2 * inbound.MAX_STREAM_BACKLOG_BYTES
    pacing.offer(object(), 1, b"x" * size, lambda _part, _left: None)
    assert keeper.is_backlogged()


def test_a_pause_reaches_the_call_of_its_link_only():
    keeper = FakeKeeper(is_over=False)
    pacing = uplink.Uplink.from_rate(task.Clock(), 7_000)
    calls = inbound.InboundCalls(keeper, pacing, lambda *_: None)
    link = FakeLink()
    calls.receive(link, CALL)
    calls.receive(FakeLink(), frames.Pause(1, True))
    calls.receive(link, frames.Pause(2, True))
    assert keeper.pauses == []
    calls.receive(link, frames.Pause(1, True))
    calls.receive(link, frames.Pause(1, False))
    assert keeper.pauses == [True, False]
