"""Parses HTTP responses and enforces limits."""

from typing import Any
from typing import Protocol

import httptools

from filbertlift_transport import http


class ResponseError(Exception):
    """A response is malformed, too large or has no length.

    Attributes:
        reason: stable identifier, one of those of `ClientFailure`.
        message: what happened, in one sentence.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason
        self.message = message


class Call(Protocol):
    """Call interface that the reader uses."""

    is_head: bool
    is_over: bool
    events: Any


class ResponseReader:
    """State of one connection's parser.

    Attributes:
        has_head: whether the head of the current response is complete.
        is_complete: whether the current response is complete.
        keeps_alive: whether the connection can carry another request.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.has_head = False
        self.is_complete = False
        self.keeps_alive = False
        self._max_head_bytes = max_head_bytes
        self._head_bytes = 0
        # Bytes received since the last complete head or part of the body.
        self._pending_bytes = 0
        self._headers: list[http.Header] = []
        self._length: int | None = None
        self._is_chunked = False
        self._call: Call
        self._parser = httptools.HttpResponseParser(self)

    def start(self, call: Call) -> None:
        """Prepares for the response to another request."""
        self.has_head = False
        self.is_complete = False
        self.keeps_alive = False
        self._pending_bytes = 0
        self._call = call

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            ResponseError: if they are malformed or over a limit.
        """
        self._pending_bytes += len(data)
        try:
            self._parse(data)
        except ResponseError:
            if not self.is_complete:
                raise
            # The response is complete; only the data after it is invalid.
            self.keeps_alive = False
        # The parser keeps an incomplete line of the head or of the trailer,
        # which may have no end.
        if not self.is_complete and self._pending_bytes > self._max_head_bytes:
            raise _make_head_error()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, ResponseError):
                raise cause from None
            raise
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise ResponseError("malformed", str(error)) from error

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a new response."""
        if self.is_complete:
            raise ResponseError("malformed", "more than one response")
        self._head_bytes = 0
        self._headers = []
        self._length = None
        self._is_chunked = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; ignores a trailer after the body."""
        if self.has_head:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > self._max_head_bytes:
            raise _make_head_error()
        key = name.decode("latin-1")
        text = value.decode("latin-1")
        lower = key.lower()
        if lower == "content-length":
            self._length = http.parse_length(text)
            if self._length is None:
                raise ResponseError("malformed", "invalid length of the body")
        elif lower == "transfer-encoding":
            self._is_chunked = True
        if lower not in http.FRAMING_HEADERS:
            self._headers.append(http.Header(key, text))

    def on_headers_complete(self) -> None:
        """Reports the head, except of an informational response."""
        status = self._parser.get_status_code()
        fault = http.find_head_fault(status, self._parser.get_http_version())
        if fault:
            raise ResponseError("malformed", fault)
        if status < http.MIN_FINAL_STATUS:
            return
        self._pending_bytes = 0
        self.has_head = True
        is_bodyless = self._call.is_head or status in (204, 304)
        if is_bodyless:
            self._length = 0
        elif self._length is None and not self._is_chunked:
            # The end of such a body looks the same as a lost connection.
            raise ResponseError("no-length", "response has no length")
        if not self._call.is_over:
            self._call.events.on_head(
                status, tuple(self._headers), self._length
            )
        if self._call.is_head:
            # The parser would wait for a body, which HEAD responses lack.
            self.is_complete = True

    def on_body(self, data: bytes) -> None:
        """Passes on a part of the body."""
        self._pending_bytes = 0
        if not self._call.is_over and not self._call.is_head:
            self._call.events.on_data(data)

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        if not self.has_head or self._call.is_head:
            return
        self.is_complete = True
        self.keeps_alive = self._parser.should_keep_alive()


def _make_head_error() -> ResponseError:
    return ResponseError("head-too-large", "response head is too large")
