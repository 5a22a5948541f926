"""Reads HTTP responses within limits."""

from typing import Any
from typing import Protocol

import httptools

from filbertlift_transport import http


class ResponseError(Exception):
    """A response that cannot be passed on."""

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason
        self.message = message


class Call(Protocol):
    """What the reader needs of a call."""

    is_head: bool
    is_over: bool
    events: Any


class ResponseReader:
    """State of one connection's parser.

    Attributes:
        has_head: whether the head of the present response arrived.
        is_complete: whether the present response is complete.
        keeps_alive: whether the connection can carry another request.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self.has_head = False
        self.is_complete = False
        self.keeps_alive = False
        self._max_head_bytes = max_head_bytes
        self._head_bytes = 0
        self._received_bytes = 0
        self._headers: list[http.Header] = []
        self._length: int | None = None
        self._is_chunked = False
        self._call: Call
        self._parser = httptools.HttpResponseParser(self)

    def start(self, call: Call) -> None:
        """Expects the response to another request."""
        self.has_head = False
        self.is_complete = False
        self.keeps_alive = False
        self._received_bytes = 0
        self._call = call

    def feed(self, data: bytes) -> None:
        """Handles received bytes.

        Raises:
            ResponseError: if they are malformed or over a limit.
        """
        if not self.has_head:
            # Bounds an unfinished header line, which the parser holds.
            self._received_bytes += len(data)
        try:
            self._parse(data)
        except ResponseError:
            if not self.is_complete:
                raise
            # The answer is whole; only what follows it cannot be used.
            self.keeps_alive = False
        if not self.has_head and self._received_bytes > self._max_head_bytes:
            raise _refuse_head()

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
        """A response starts."""
        if self.is_complete:
            raise ResponseError("malformed", "more than one response")
        self._head_bytes = 0
        self._headers = []
        self._length = None
        self._is_chunked = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, which is left out."""
        if self.has_head:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > self._max_head_bytes:
            raise _refuse_head()
        key = name.decode("latin-1")
        text = value.decode("latin-1")
        lower = key.lower()
        if lower == "content-length":
            self._length = int(text) if text.isdigit() else None
        elif lower == "transfer-encoding":
            self._is_chunked = True
        if lower not in http.FRAMING_HEADERS:
            self._headers.append(http.Header(key, text))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self.has_head = True
        bodyless = self._call.is_head or status in (204, 304)
        if bodyless:
            self._length = 0
        elif self._length is None and not self._is_chunked:
            # The end of such a body cannot be told from a lost connection.
            raise ResponseError("no-length", "response has no length")
        if not self._call.is_over:
            self._call.events.on_head(
                status, tuple(self._headers), self._length
            )
        if self._call.is_head:
            # The parser waits for a body that does not come.
            self.is_complete = True

    def on_body(self, data: bytes) -> None:
        """Part of the body arrived."""
        if not self._call.is_over and not self._call.is_head:
            self._call.events.on_data(data)

    def on_message_complete(self) -> None:
        """The response is complete."""
        if not self.has_head or self._call.is_head:
            return
        self.is_complete = True
        self.keeps_alive = self._parser.should_keep_alive()


def _refuse_head() -> ResponseError:
    return ResponseError("head-too-large", "response head is too large")
