"""One call of the HTTP client: a request and its callbacks."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import attrs

from filbertlift_transport import http
from filbertlift_transport import outputs


class Connection(Protocol):
    """Connection interface that a call uses."""

    transport: Any

    @property
    def is_full(self) -> bool:
        """Whether the socket currently accepts no more bytes."""

    def write(self, data: bytes) -> None:
        """Sends part of a request."""

    def drop(self) -> None:
        """Closes the connection at once."""


@attrs.frozen
class ClientFailure:
    """Why no complete response was received.

    Attributes:
        reason: `connect-failed`, `pool-full`, `pool-closed`, `lost`,
            `truncated`, `malformed`, `head-too-large` or `no-length`.
        message: what happened, in one sentence.
        sent: whether any byte of the request may have reached the target.
    """

    reason: str
    message: str
    sent: bool


@attrs.frozen
class ClientEvents:
    """Callbacks of a client call.

    Attributes:
        on_head: receives the status, the headers and the length of the body,
            which is None if unknown.
        on_data: receives part of the body.
        on_end: called when the body is complete.
        on_failure: called when no complete response will arrive; no other
            callback follows.
    """

    on_head: Callable[[int, tuple[http.Header, ...], int | None], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[[], None]
    on_failure: Callable[[ClientFailure], None]


class ClientCall:
    """One request on one connection of the pool.

    Attributes:
        on_drained: called when the connection accepts bytes again after
            `is_full` was true, for a request whose body is written in parts.
    """

    def __init__(
        self,
        request: bytes,
        is_head: bool,
        events: ClientEvents,
        remaining_bytes: int = 0,
    ) -> None:
        self.request = request
        self.is_head = is_head
        self.events = events
        self.is_over = False
        self.is_paused = False
        self.on_drained: Callable[[], None] | None = None
        self._remaining_bytes = remaining_bytes
        self._connection: Connection | None = None
        self._is_sent = False

    def attach(self, connection: Connection) -> None:
        """Sets the connection that carries the call."""
        self._connection = connection

    def send(self, output: outputs.Output) -> None:
        """Writes the request."""
        self._is_sent = True
        output.write(self.request)
        if self.is_paused and self._connection is not None:
            self._connection.transport.pauseProducing()

    @property
    def is_fully_written(self) -> bool:
        """Whether the whole request has been written."""
        return self._remaining_bytes == 0

    @property
    def is_full(self) -> bool:
        """Whether the connection currently accepts no more bytes."""
        if not self._is_sent or self._connection is None:
            return not self.is_over
        return self._connection.is_full

    def write(self, data: bytes) -> None:
        """Sends another part of the body.

        Raises:
            ValueError: if the body exceeds its declared length.
        """
        if self.is_over:
            return
        if len(data) > self._remaining_bytes:
            raise ValueError("body is longer than declared")
        self._remaining_bytes -= len(data)
        if self._is_sent and self._connection is not None:
            self._connection.write(data)
        else:
            self.request += data

    def cancel(self) -> None:
        """Ends the call without further callbacks; closes its connection."""
        if self.is_over:
            return
        self.is_over = True
        if self._connection is not None:
            self._connection.drop()

    def pause(self) -> None:
        """Stops reading the response."""
        if self.is_over or self.is_paused:
            return
        self.is_paused = True
        if self._is_sent and self._connection is not None:
            self._connection.transport.pauseProducing()

    def resume(self) -> None:
        """Continues to read the response."""
        if self.is_over or not self.is_paused:
            return
        self.is_paused = False
        if self._is_sent and self._connection is not None:
            self._connection.transport.resumeProducing()

    def end(self) -> None:
        """Reports that the response is complete."""
        self.is_over = True
        self._connection = None
        self.events.on_end()

    def fail(self, reason: str, message: str) -> None:
        """Reports that no complete response will arrive."""
        if self.is_over:
            return
        self.is_over = True
        self._connection = None
        self.events.on_failure(ClientFailure(reason, message, self._is_sent))
