"""Bodies of calls that peers send in parts once this node has memory for them.

A peer sends the head of a call first and keeps its body until it is asked for
it. So a call that finds no memory costs the network nothing, and has certainly
not run.
"""

from collections.abc import Callable
import io
from typing import Any

import attrs

from filbertlift_mesh import reasons
from filbertlift_sidecar import frames
from filbertlift_sidecar import peerlink
from filbertlift_transport import memory as memories

_Key = tuple[peerlink.PeerLink, int]


@attrs.frozen
class BodyEvents:
    """Callbacks for calls with a large body.

    Attributes:
        on_complete: called with a call that has its body, and the memory that
            the body takes.
        on_refused: called with a call that gets no memory in time, and why.
    """

    on_complete: Callable[
        [peerlink.PeerLink, frames.Call, memories.Grant], None
    ]
    on_refused: Callable[[peerlink.PeerLink, frames.Call, str], None]


@attrs.define(eq=False)
class _Arrival:
    """A call whose body waits for memory or arrives.

    Attributes:
        call: the call without its body.
        arrived_at: when the call arrived, in seconds.
        buffer: the received part of the body.
        grant: memory of the body.
        timer: ends the wait.
    """

    call: frames.LargeCall
    arrived_at: float
    buffer: io.BytesIO = attrs.field(factory=io.BytesIO)
    grant: memories.Grant | None = None
    timer: Any = None


@attrs.define(eq=False)
class ArrivingBodies:
    """Calls of peers whose bodies wait for memory or arrive.

    Attributes:
        memory: budget of the bodies.
        events: callbacks.
    """

    reactor: Any
    memory: memories.MemoryBudget
    events: BodyEvents
    _arrivals: dict[_Key, _Arrival] = attrs.field(factory=dict)

    def expect(self, link: peerlink.PeerLink, call: frames.LargeCall) -> None:
        """Asks for the body of a call as soon as there is memory for it."""
        key = (link, call.stream)
        if key in self._arrivals:
            link.close("second call of a stream")
            return
        arrival = _Arrival(call, self.reactor.seconds())
        grant = self.memory.take(call.body_bytes, lambda: self._ask(key))
        if grant is None:
            self.events.on_refused(link, call, reasons.NO_MEMORY)
            return
        arrival.grant = grant
        wait_s = min(call.max_wait_ms, call.left_ms) / 1000
        arrival.timer = self.reactor.callLater(wait_s, self._give_up, key)
        self._arrivals[key] = arrival
        if grant.is_granted:
            self._ask(key)

    def receive(self, link: peerlink.PeerLink, part: frames.BodyPart) -> None:
        """Adds a part of a body."""
        key = (link, part.stream)
        arrival = self._arrivals.get(key)
        if arrival is None:
            return
        if part.left == frames.WITHDRAWN:
            self.drop(link, part.stream)
            return
        if arrival.grant is None or not arrival.grant.is_granted:
            link.close("body that was not asked for")
            return
        arrival.buffer.write(part.data)
        expected = arrival.call.body_bytes - arrival.buffer.tell()
        if part.left != expected:
            link.close("body of another length")
            return
        if not part.left:
            self._complete(key, arrival)

    def drop(self, link: peerlink.PeerLink, stream: int) -> None:
        """Drops the body of a call that was withdrawn, if it has one."""
        arrival = self._remove((link, stream))
        if arrival is not None and arrival.grant is not None:
            arrival.grant.release()

    def drop_link(self, link: peerlink.PeerLink) -> None:
        """Drops the bodies that arrived on a lost link."""
        for owner, stream in list(self._arrivals):
            if owner is link:
                self.drop(link, stream)

    def _ask(self, key: _Key) -> None:
        link, stream = key
        arrival = self._arrivals[key]
        elapsed_s = self.reactor.seconds() - arrival.arrived_at
        left_s = arrival.call.left_ms / 1000 - elapsed_s
        arrival.timer.reset(max(0.0, left_s))
        link.send(frames.BodyRequest(stream))

    def _complete(self, key: _Key, arrival: _Arrival) -> None:
        self._remove(key)
        assert arrival.grant is not None
        call = arrival.call
        elapsed_ms = int((self.reactor.seconds() - arrival.arrived_at) * 1000)
        whole = attrs.evolve(
            call,
            body=arrival.buffer.getvalue(),
            left_ms=max(0, call.left_ms - elapsed_ms),
            objective_ms=call.objective_ms - elapsed_ms,
            max_wait_ms=max(0, call.max_wait_ms - elapsed_ms),
        )
        self.events.on_complete(key[0], whole, arrival.grant)

    def _give_up(self, key: _Key) -> None:
        link, stream = key
        arrival = self._arrivals[key]
        is_granted = arrival.grant is not None and arrival.grant.is_granted
        self.drop(link, stream)
        if is_granted:
            self.events.on_refused(link, arrival.call, reasons.TOO_LATE)
            return
        self.memory.note_refused()
        self.events.on_refused(link, arrival.call, reasons.NO_MEMORY)

    def _remove(self, key: _Key) -> _Arrival | None:
        arrival = self._arrivals.pop(key, None)
        if arrival is not None and arrival.timer.active():
            arrival.timer.cancel()
        return arrival
