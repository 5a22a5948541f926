"""One request of the HTTP client and its events."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import attrs

from filbertlift_transport import http
from filbertlift_transport import outputs


class Connection(Protocol):
    """What a call needs of its connection."""

    transport: Any

    @property
    def is_full(self) -> bool:
        """Whether the socket takes no more bytes for now."""

    def write(self, data: bytes) -> None:
        """Sends part of a request."""

    def drop(self) -> None:
        """Closes the connection at once."""


@attrs.frozen
class ClientFailure:
    """Why a request got no complete answer.

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
    """Functions that a call of the client calls.

    Attributes:
        on_head: status, headers and length of the body if it is known.
        on_data: part of the body.
        on_end: the body is complete.
        on_failure: no complete answer will arrive; last event of the call.
    """

    on_head: Callable[[int, tuple[http.Header, ...], int | None], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[[], None]
    on_failure: Callable[[ClientFailure], None]


class ClientCall:
    """One request on one connection of the pool.

    Attributes:
        on_drained: called when the connection takes bytes again after
            `is_full` was true, for a request whose body is written in parts.
    """

    def __init__(
        self,
        request: bytes,
        is_head: bool,
        events: ClientEvents,
        owed: int = 0,
    ) -> None:
        self.request = request
        self.is_head = is_head
        self.events = events
        self.is_over = False
        self.is_paused = False
        self.on_drained: Callable[[], None] | None = None
        self._owed = owed
        self._connection: Connection | None = None
        self._is_sent = False

    def attach(self, connection: Connection) -> None:
        """Remembers the connection that carries the call."""
        self._connection = connection

    def send(self, output: outputs.Output) -> None:
        """Writes the request."""
        self._is_sent = True
        output.write(self.request)
        if self.is_paused and self._connection is not None:
            self._connection.transport.pauseProducing()

    @property
    def is_whole(self) -> bool:
        """Whether the whole request was written."""
        return self._owed == 0

    @property
    def is_full(self) -> bool:
        """Whether the connection takes no more bytes for now."""
        if not self._is_sent or self._connection is None:
            return not self.is_over
        return self._connection.is_full

    def write(self, data: bytes) -> None:
        """Sends another part of the body.

        Raises:
            ValueError: if it is longer than the length that was declared.
        """
        if self.is_over:
            return
        if len(data) > self._owed:
            raise ValueError("body is longer than declared")
        self._owed -= len(data)
        if self._is_sent and self._connection is not None:
            self._connection.write(data)
        else:
            self.request += data

    def cancel(self) -> None:
        """Ends the call without further events; closes its connection."""
        if self.is_over:
            return
        self.is_over = True
        if self._connection is not None:
            self._connection.drop()

    def pause(self) -> None:
        """Stops reading the answer."""
        if self.is_over or self.is_paused:
            return
        self.is_paused = True
        if self._is_sent and self._connection is not None:
            self._connection.transport.pauseProducing()

    def resume(self) -> None:
        """Reads the answer again."""
        if self.is_over or not self.is_paused:
            return
        self.is_paused = False
        if self._is_sent and self._connection is not None:
            self._connection.transport.resumeProducing()

    def end(self) -> None:
        """The answer is complete."""
        self.is_over = True
        self._connection = None
        self.events.on_end()

    def fail(self, reason: str, message: str) -> None:
        """The answer will not be complete."""
        if self.is_over:
            return
        self.is_over = True
        self._connection = None
        self.events.on_failure(ClientFailure(reason, message, self._is_sent))
