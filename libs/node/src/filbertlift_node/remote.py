"""Calls that this node sends to keepers over links."""

from collections.abc import Callable
from typing import Any

import attrs

from filbertlift_node import attempts
from filbertlift_node import links as link_tables
from filbertlift_transport import link as links
from filbertlift_wire import messages

# The receiver grants credit in steps of this size, to avoid sending a frame
# for each chunk.
CREDIT_STEP_BYTES = attempts.WINDOW_BYTES // 4


@attrs.define(eq=False)
class RemoteAttempt:
    """An open attempt at another node."""

    _calls: "RemoteCalls"
    link: links.Link
    stream: int
    call_id: str
    listener: attempts.Listener
    on_lost: Callable[[], None]
    _received: int = 0
    _is_paused: bool = False
    _on_cancelled: Callable[[bool], None] | None = None

    def pause(self) -> None:
        """Stops granting credit."""
        self._is_paused = True

    def resume(self) -> None:
        """Grants the credit for the bytes received during the pause."""
        self._is_paused = False
        self._grant()

    def cancel(self, on_done: Callable[[bool], None] | None) -> None:
        """Asks the keeper to withdraw the call; see `attempts.Attempt`."""
        self.listener = attempts.NULL_LISTENER
        if on_done is None:
            self._calls.forget(self)
        self._on_cancelled = on_done
        self.link.send(messages.Cancel(self.stream, self.call_id.encode()))

    def receive_cancelled(self, ran: bool) -> None:
        """Handles the keeper's answer to a withdrawal."""
        on_done, self._on_cancelled = self._on_cancelled, None
        if on_done is not None:
            on_done(ran)

    def receive_bytes(self, count: int) -> None:
        """Counts bytes of the stream, and grants credit unless paused."""
        self._received += count
        if not self._is_paused:
            self._grant()

    def lose(self) -> None:
        """Handles the loss of the link.

        If a withdrawal is not confirmed yet, the call counts as one that may
        have run.
        """
        if self._on_cancelled is not None:
            self.receive_cancelled(True)
            return
        self.on_lost()

    def _grant(self) -> None:
        if self._received < CREDIT_STEP_BYTES:
            return
        self.link.send(messages.Credit(self.stream, self._received))
        self._received = 0


@attrs.define(eq=False)
class RemoteCalls:
    """Open attempts and inquiries at other nodes, by link and stream.

    Unlike `filbertlift_sidecar.remote`, it also asks keepers for the outcomes
    of calls, and sends calls on links that either side opened.
    """

    _links: link_tables.LinkTable
    _attempts: dict[links.Link, dict[int, RemoteAttempt]] = attrs.field(
        factory=dict
    )
    _inquiries: dict[links.Link, dict[int, Callable[[Any], None]]] = (
        attrs.field(factory=dict)
    )
    _last_stream: int = 0

    def start(self) -> None:
        """Registers handlers for the messages that keepers send."""
        self._links.handlers.update(
            {
                messages.Answer: self._handle_answer,
                messages.Cancelled: self._handle_cancelled,
                messages.Settled: self._handle_settled,
            }
        )

    @property
    def in_flight(self) -> int:
        """Number of open attempts."""
        return sum(len(found) for found in self._attempts.values())

    def send(
        self,
        link: links.Link,
        call: messages.Call,
        listener: attempts.Listener,
        on_lost: Callable[[], None],
    ) -> RemoteAttempt | None:
        """Sends a call; returns None if the link could not send it."""
        stream = self._allocate_stream(link)
        attempt = RemoteAttempt(
            self, link, stream, call.call_id.decode(), listener, on_lost
        )
        self._attempts.setdefault(link, {})[stream] = attempt
        self._links.touch(link)
        body = call.body
        if len(body) <= attempts.FRAME_BYTES:
            is_sent = link.send(attrs.evolve(call, stream=stream))
        else:
            is_sent = self._send_parts(link, stream, call, body)
        if not is_sent:
            self.forget(attempt)
            return None
        return attempt

    def settle(
        self,
        link: links.Link,
        message: messages.Settle,
        on_settled: Callable[[messages.Settled | None], None],
    ) -> None:
        """Asks a keeper for the state of a call.

        Args:
            link: link to the keeper.
            message: the inquiry.
            on_settled: called with the reply, or None if the link is lost.
        """
        stream = self._allocate_stream(link)
        self._inquiries.setdefault(link, {})[stream] = on_settled
        if not link.send(attrs.evolve(message, stream=stream)):
            del self._inquiries[link][stream]
            on_settled(None)

    def receive_chunk(self, link: links.Link, chunk: messages.Chunk) -> None:
        """Handles a further part of an answer."""
        attempt = self._attempts.get(link, {}).get(chunk.stream)
        if attempt is None:
            return
        if chunk.last or chunk.failed:
            self.forget(attempt)
        else:
            attempt.receive_bytes(len(chunk.body))
        attempt.listener.on_chunk(chunk)

    def handle_link_loss(self, link: links.Link) -> None:
        """Ends the attempts and inquiries on a link that was lost."""
        for attempt in self._attempts.pop(link, {}).values():
            attempt.lose()
        for on_settled in self._inquiries.pop(link, {}).values():
            on_settled(None)

    def forget(self, attempt: RemoteAttempt) -> None:
        """Removes an attempt that is over."""
        self._attempts.get(attempt.link, {}).pop(attempt.stream, None)

    def _allocate_stream(self, link: links.Link) -> int:
        # The opener of a link uses odd stream numbers and the other side even
        # ones, so that the number of a chunk tells which side sent the call.
        self._last_stream = (self._last_stream + 2) % 2**31
        return self._last_stream | 1 if link.is_opener else self._last_stream

    def _send_parts(
        self,
        link: links.Link,
        stream: int,
        call: messages.Call,
        body: bytes,
    ) -> bool:
        size = attempts.FRAME_BYTES
        first = attrs.evolve(call, stream=stream, more=True, body=body[:size])
        link.send(first)
        for start in range(size, len(body), size):
            last = start + size >= len(body)
            part = body[start : start + size]
            link.send(messages.Chunk(stream, last, False, part))
        return link.is_up

    def _handle_answer(self, link: links.Link, answer: messages.Answer) -> None:
        attempt = self._attempts.get(link, {}).get(answer.stream)
        if attempt is None:
            return
        if answer.more:
            attempt.receive_bytes(len(answer.body))
        else:
            self.forget(attempt)
        attempt.listener.on_answer(answer)

    def _handle_cancelled(
        self, link: links.Link, message: messages.Cancelled
    ) -> None:
        attempt = self._attempts.get(link, {}).pop(message.stream, None)
        if attempt is not None:
            attempt.receive_cancelled(message.ran)

    def _handle_settled(
        self, link: links.Link, message: messages.Settled
    ) -> None:
        on_settled = self._inquiries.get(link, {}).pop(message.stream, None)
        if on_settled is not None:
            on_settled(message)
