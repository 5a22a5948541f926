"""A call at its keeper, and the askers that wait for its answer."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from filbertlift_calls import tickets
from filbertlift_config import routes
from filbertlift_node import attempts
from filbertlift_transport import client
from filbertlift_wire import messages

if TYPE_CHECKING:
    from filbertlift_node import relay as relays


@attrs.define(eq=False)
class Run:
    """A call at this keeper, from admission to the end of its answer."""

    _relay: "relays.Relay"
    call: messages.Call
    route: routes.Route
    ticket: tickets.Ticket
    is_id_held: bool
    listeners: list[attempts.Listener]
    started_at: float = 0.0
    is_started: bool = False
    is_streaming: bool = False
    is_over: bool = False
    is_cancelled: bool = False
    status: int = 0
    headers: tuple[messages.Header, ...] = ()
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0
    client_call: client.ClientCall | None = None

    def pause(self) -> None:
        """Stops reading the answer of the target."""
        if self.client_call is not None:
            self.client_call.pause()

    def resume(self) -> None:
        """Continues reading the answer of the target."""
        if self.client_call is not None:
            self.client_call.resume()

    # Events of the target's answer.

    def receive_head(
        self,
        status: int,
        headers: tuple[messages.Header, ...],
        _length: int | None,
    ) -> None:
        """Records the head of the target's answer."""
        self.status = status
        self.headers = headers

    def receive_data(self, data: bytes) -> None:
        """Buffers a part of the body; a long body is streamed instead."""
        if self.is_streaming:
            self._send_chunk(messages.Chunk(0, False, False, data))
            return
        self.parts.append(data)
        self.size += len(data)
        if self.size > attempts.MAX_BUFFERED_BYTES:
            self.is_streaming = True
            self._relay.answer(self, self.take_body(), more=True)

    def receive_end(self) -> None:
        """Handles the end of the body."""
        self._relay.finish(self)

    def receive_failure(self, failure: client.ClientFailure) -> None:
        """Handles a failure of the connection to the target."""
        self._relay.fail(self, failure)

    def end_stream(self, failed: bool) -> None:
        """Sends the last chunk of a streamed body."""
        self._send_chunk(messages.Chunk(0, not failed, failed, b""))

    def take_body(self) -> bytes:
        """Returns the buffered part of the body and clears the buffer."""
        body = b"".join(self.parts)
        self.parts.clear()
        return body

    def _send_chunk(self, chunk: messages.Chunk) -> None:
        # Only the first asker receives a stream; a repeat is answered
        # NOT_KEPT when the stream ends.
        self.listeners[0].on_chunk(chunk)


@attrs.frozen(eq=False)
class Asker:
    """An attempt that waits for the answer of a run.

    Attributes:
        run: the call.
        listener: receives the answer.
        name: id of this asker at the keeper; `asker` of the message `Call`.
    """

    _relay: "relays.Relay"
    run: Run
    listener: attempts.Listener
    name: str

    def pause(self) -> None:
        """Pauses the stream of the answer if it goes to this asker."""
        if self.run.listeners[0] is self.listener:
            self.run.pause()

    def resume(self) -> None:
        """Resumes the stream of the answer if it goes to this asker."""
        if self.run.listeners[0] is self.listener:
            self.run.resume()

    def cancel(self, on_done: Callable[[bool], None] | None) -> None:
        """Withdraws the call if it has not started.

        Args:
            on_done: called with whether the call may have run.
        """
        ran = self._relay.withdraw(self)
        if on_done is not None:
            on_done(ran)
