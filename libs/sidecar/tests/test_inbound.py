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

    def submit(self, _call, _on_answer, _on_chunk, is_backlogged):
        self.is_backlogged = is_backlogged
        return self


def test_streamed_answers_wait_while_the_link_is_backlogged():
    """Guards against a body without end that is queued for a narrow link."""
    clock = task.Clock()
    keeper = FakeKeeper()
    link = uplink.Uplink.from_rate(clock, 7_000)
    calls = inbound.InboundCalls(keeper, link, lambda *_: None)
    call = frames.Call(
        1, "r-1", "s", "GET", "/", (), b"", 4000, 400, 4000, "safe", 1, True
    )
    calls.receive(object(), call)
    assert not keeper.is_backlogged()
    link.offer(object(), 1, b"x" * 1_000_000, lambda _part, _left: None)
    assert keeper.is_backlogged()
    clock.pump([0.01] * 400)
    assert not keeper.is_backlogged()
