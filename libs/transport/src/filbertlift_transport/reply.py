"""Response of the HTTP server to one request."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Protocol

import attrs

from filbertlift_transport import http
from filbertlift_transport import outputs

BODYLESS_STATUSES = frozenset((204, 304))


class Connection(Protocol):
    """Connection interface that a reply uses."""

    transport: Any
    output: outputs.Output

    @property
    def has_pending(self) -> bool:
        """Whether a whole request waits behind the current one."""

    def call_soon(self, function: Callable[[], None]) -> None:
        """Calls the function after the current reactor iteration."""

    def end_reply(self, reply: "Reply", keep: bool) -> None:
        """Ends the response; keeps or closes the connection."""


@attrs.define(eq=False)
class Reply:
    """Response to one request.

    It is sent either by one call of `send`, or by `start`, any number of
    `write` and `finish`.

    Attributes:
        on_gone: called once if the caller disconnects before the end of the
            response.
        on_drained: called when the connection accepts bytes again after
            `is_full` was true.
    """

    _connection: Connection
    _is_head: bool
    _is_http_1_0: bool
    _keep: bool
    on_gone: Callable[[], None] | None = None
    on_drained: Callable[[], None] | None = None
    _is_last: bool = False
    _is_started: bool = False
    _is_over: bool = False
    _is_chunked: bool = False
    _remaining_bytes: int | None = None
    _is_bodyless: bool = False
    _head: bytes = b""

    @property
    def is_over(self) -> bool:
        """Whether the response is complete or the caller has disconnected."""
        return self._is_over

    @property
    def is_full(self) -> bool:
        """Whether the connection currently accepts no more bytes."""
        return self._connection.output.is_full

    def send(
        self, status: int, headers: Iterable[http.Header], body: bytes
    ) -> None:
        """Sends a whole response; does nothing if the caller disconnected."""
        if self._is_over:
            return
        assert not self._is_started
        length = (
            ""
            if status in BODYLESS_STATUSES
            else f"Content-Length: {len(body)}\r\n"
        )
        head = self._make_head(status, headers, length)
        if self._is_head or status in BODYLESS_STATUSES:
            body = b""
        self._connection.output.write(head + body)
        self._end()

    def start(
        self, status: int, headers: Iterable[http.Header], length: int | None
    ) -> None:
        """Sends the head of a response; `write` sends the body.

        Args:
            status: HTTP status.
            headers: headers other than FRAMING_HEADERS.
            length: bytes of the body, or None if unknown.
        """
        if self._is_over:
            return
        assert not self._is_started
        self._is_started = True
        self._is_bodyless = self._is_head or status in BODYLESS_STATUSES
        self._remaining_bytes = length
        framing = ""
        if status in BODYLESS_STATUSES:
            self._remaining_bytes = None
        elif length is not None:
            framing = f"Content-Length: {length}\r\n"
        elif self._is_http_1_0:
            self._keep = False
        else:
            self._is_chunked = True
            framing = "Transfer-Encoding: chunked\r\n"
        # The head is held back, at most until the current reactor iteration
        # ends, so that it can share a packet with the first part of the body.
        self._head = self._make_head(status, headers, framing)
        self._connection.call_soon(self._flush_head)

    def write(self, data: bytes) -> None:
        """Sends part of the body."""
        if self._is_over or not data or self._is_bodyless:
            return
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:
                self.abort()
                return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Ends the body; aborts if fewer bytes than declared were sent."""
        if self._is_over:
            return
        if self._remaining_bytes and not self._is_bodyless:
            self.abort()
            return
        ends_chunks = self._is_chunked and not self._is_bodyless
        self._write(b"0\r\n\r\n" if ends_chunks else b"")
        self._decide_close()
        self._end()

    def abort(self) -> None:
        """Aborts the connection, so the response is not taken as complete."""
        if self._is_over:
            return
        self._is_over = True
        self._connection.transport.abortConnection()

    def drop(self) -> None:
        """Ends the reply; called by the connection when the caller is gone."""
        if self._is_over:
            return
        self._is_over = True
        on_gone = self.on_gone
        self._release()
        if on_gone is not None:
            on_gone()

    def close_after(self) -> None:
        """Closes the connection after this response.

        Requests that wait behind it are answered before.
        """
        self._is_last = True

    def _make_head(
        self, status: int, headers: Iterable[http.Header], framing: str
    ) -> bytes:
        self._decide_close()
        if not self._keep:
            framing += "Connection: close\r\n"
        elif self._is_http_1_0:
            framing += "Connection: keep-alive\r\n"
        reason = http.REASONS.get(status, "Status")
        return http.make_head(f"HTTP/1.1 {status} {reason}", headers, framing)

    def _write(self, data: bytes) -> None:
        data = self._head + data
        self._head = b""
        if data:
            self._connection.output.write(data)

    def _flush_head(self) -> None:
        if not self._is_over:
            self._write(b"")

    def _decide_close(self) -> None:
        if self._is_last and not self._connection.has_pending:
            self._keep = False

    def _end(self) -> None:
        self._is_over = True
        self._release()
        self._connection.end_reply(self, self._keep)

    def _release(self) -> None:
        """Drops the callbacks, which refer to the request in a cycle."""
        self.on_gone = None
        self.on_drained = None
