"""Answer to one HTTP request."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Protocol

import attrs

from filbertlift_transport import http
from filbertlift_transport import outputs

BODYLESS = frozenset((204, 304))


class Connection(Protocol):
    """What a reply needs of its connection."""

    transport: Any
    output: outputs.Output

    def call_soon(self, function: Callable[[], None]) -> None:
        """Calls the function at the end of this turn of the reactor."""

    def end_reply(self, reply: "Reply", keep: bool) -> None:
        """The answer is complete; the connection is kept or closed."""


@attrs.define(eq=False)
class Reply:
    """Answer to one request; exactly one of send, or start to finish.

    Attributes:
        on_gone: called once when the caller hangs up before the end.
        on_drained: called when the connection takes bytes again after
            `is_full` was true.
    """

    _connection: Connection
    _is_head: bool
    _is_old: bool
    _keep: bool
    on_gone: Callable[[], None] | None = None
    on_drained: Callable[[], None] | None = None
    _is_started: bool = False
    _is_over: bool = False
    _chunked: bool = False
    _remaining: int | None = None
    _bodyless: bool = False
    _head: bytes = b""

    @property
    def is_over(self) -> bool:
        """Whether the answer is complete or the caller is gone."""
        return self._is_over

    @property
    def is_full(self) -> bool:
        """Whether the connection holds enough unsent bytes for now."""
        return self._connection.output.is_full

    def send(
        self, status: int, headers: Iterable[http.Header], body: bytes
    ) -> None:
        """Sends a whole answer; does nothing when the caller is gone."""
        if self._is_over:
            return
        assert not self._is_started
        length = (
            "" if status in BODYLESS else f"Content-Length: {len(body)}\r\n"
        )
        head = self._make_head(status, headers, length)
        if self._is_head or status in BODYLESS:
            body = b""
        self._connection.output.write(head + body)
        self._end(self._keep)

    def start(
        self, status: int, headers: Iterable[http.Header], length: int | None
    ) -> None:
        """Sends the head of an answer; the body follows by `write`.

        Args:
            status: HTTP status.
            headers: headers without framing.
            length: bytes of the body, or None when it is not known.
        """
        if self._is_over:
            return
        assert not self._is_started
        self._is_started = True
        self._bodyless = self._is_head or status in BODYLESS
        self._remaining = length
        framing = ""
        if status in BODYLESS:
            self._remaining = None
        elif length is not None:
            framing = f"Content-Length: {length}\r\n"
        elif self._is_old:
            self._keep = False
        else:
            self._chunked = True
            framing = "Transfer-Encoding: chunked\r\n"
        # The head waits for the first part of the body to share its packet,
        # at most until the end of this turn of the reactor.
        self._head = self._make_head(status, headers, framing)
        self._connection.call_soon(self._flush_head)

    def write(self, data: bytes) -> None:
        """Sends part of the body."""
        if self._is_over or not data or self._bodyless:
            return
        if self._remaining is not None:
            self._remaining -= len(data)
            if self._remaining < 0:
                self.abort()
                return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._write(data)

    def finish(self) -> None:
        """Ends the body; aborts when fewer bytes than declared were sent."""
        if self._is_over:
            return
        if self._remaining and not self._bodyless:
            self.abort()
            return
        ends_chunks = self._chunked and not self._bodyless
        self._write(b"0\r\n\r\n" if ends_chunks else b"")
        self._end(self._keep)

    def abort(self) -> None:
        """Closes the connection, so that the answer is not taken as whole."""
        if self._is_over:
            return
        self._is_over = True
        self._connection.transport.abortConnection()

    def drop(self) -> None:
        """The caller is gone; called by the connection."""
        if self._is_over:
            return
        self._is_over = True
        if self.on_gone is not None:
            self.on_gone()

    def close_after(self) -> None:
        """Closes the connection after this answer."""
        self._keep = False

    def _make_head(
        self, status: int, headers: Iterable[http.Header], framing: str
    ) -> bytes:
        if not self._keep:
            framing += "Connection: close\r\n"
        elif self._is_old:
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

    def _end(self, keep: bool) -> None:
        self._is_over = True
        self._connection.end_reply(self, keep)
