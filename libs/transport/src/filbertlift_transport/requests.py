"""Parses received bytes into HTTP requests and enforces limits."""

from collections.abc import Callable
import io
from typing import Any
from typing import Final

import attrs
import httptools

from filbertlift_core import model
from filbertlift_transport import http
from filbertlift_transport import memory
from filbertlift_transport import uploads

# Code of the refusal of a request that finds no memory.
NO_MEMORY: Final = "FL-HTTP-MEMORY"
# Bytes that are parsed at a time: before a body, where they may be very many
# short requests, and within one.
HEAD_PART_BYTES: Final = 1024
BODY_PART_BYTES: Final = 16 * 1024


@attrs.frozen
class Refusal:
    """Answer to a request that is malformed or over a limit.

    Attributes:
        status: HTTP status of the response.
        code: error code of the response.
        message: what happened, in one sentence.
    """

    status: int
    code: str
    message: str


class RefusedError(Exception):
    """A request is malformed or over a limit.

    Attributes:
        refusal: the answer to it.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.refusal = Refusal(status, code, message)


@attrs.frozen
class ParsedRequest:
    """A request and the properties that determine its response.

    Attributes:
        request: the request.
        keep: whether the caller keeps the connection open.
        is_http_1_0: whether the caller uses an HTTP version before 1.1.
        grant: memory of the body, to be released with it.
        charge: memory of the other objects of the request.
    """

    request: http.Request
    keep: bool
    is_http_1_0: bool
    grant: memory.Grant | None = None
    charge: memory.Charge | None = None

    def release(self) -> None:
        """Gives back the memory of the request."""
        if self.grant is not None:
            self.grant.release()
        if self.charge is not None:
            self.charge.release()


@attrs.define(eq=False)
class RequestReader:
    """State of one connection's parser.

    `feed` returns complete requests. The limits in force when a request begins
    hold until its end.

    Attributes:
        refusal: answer to the last request; nothing is read after it.
        upload: body of the current request, if it is passed on in parts.
        is_in_head: whether the head of a request is incomplete.
        is_in_body: whether the body of a request is incomplete.
        wants_continue: whether the caller waits for status 100 before it sends
            the body.
    """

    _find_limits: Callable[[], http.Limits]
    _peer: model.Address
    _transport: Any
    _memory: memory.MemoryBudget | None
    _heads: memory.ChargeBudget
    _on_granted: Callable[[], None] = lambda: None
    _on_evicted: Callable[[], None] = lambda: None
    refusal: Refusal | None = None
    upload: uploads.Upload | None = None
    is_in_head: bool = False
    is_in_body: bool = False
    wants_continue: bool = False
    _completed: list[ParsedRequest] = attrs.field(factory=list)
    # Received bytes that were not parsed yet.
    _held: bytes = b""
    _url: bytes = b""
    _headers: dict[str, str] = attrs.field(factory=dict)
    _head_bytes: int = 0
    _head_lines: int = 0
    _unparsed_bytes: int = 0
    # Whether the part that is parsed has the start or body of a request.
    _has_progressed: bool = False
    # The bytes of a `BytesIO` become the body without a copy.
    _body: io.BytesIO = attrs.field(factory=io.BytesIO)
    _body_bytes: int = 0
    # The same at the last check of its progress.
    _checked_bytes: int = 0
    _grant: memory.Grant | None = None
    _granted_bytes: int = 0
    _charge: memory.Charge | None = None
    _parser: Any = None
    _limits: http.Limits = attrs.field(init=False)

    @property
    def is_waiting(self) -> bool:
        """Whether the body waits for memory, so nothing should be read."""
        return self._grant is not None and not self._grant.is_granted

    @property
    def is_reading_body(self) -> bool:
        """Whether a body is read that has its memory."""
        return self.is_in_body and not self.is_waiting

    def check_progress(self, least_bytes: int) -> int:
        """Returns the memory of a body that makes too little progress.

        Args:
            least_bytes: number of bytes that have to be read between calls.

        Returns:
            Size of its grant; 0 if there is no such body.
        """
        before_bytes, self._checked_bytes = (
            self._checked_bytes,
            self._body_bytes,
        )
        if self._grant is None or self.is_waiting:
            return 0
        is_stalled = self._body_bytes - before_bytes < least_bytes
        return self._grant.size if is_stalled else 0

    @property
    def has_held(self) -> bool:
        """Whether bytes were received that are not parsed yet."""
        return bool(self._held)

    def refuse(self, refusal: Refusal) -> None:
        """Drops the incomplete request and all that follows it."""
        self.release()
        self.refusal = refusal
        self.is_in_head = self.is_in_body = False

    def close(self) -> None:
        """Ends the reading, so that no cycle keeps the connection."""
        self.release()
        self._on_granted = self._on_evicted = _ignore

    def release(self) -> None:
        """Drops the incomplete request and gives back its memory."""
        self._parser = None
        self._held = b""
        self._headers = {}
        self._body = io.BytesIO()
        self._release_grant()
        charge, self._charge = self._charge, None
        if charge is not None:
            charge.release()

    def feed(self, data: bytes, max_requests: int) -> list[ParsedRequest]:
        """Returns the requests completed by these bytes and those held before.

        Bytes behind the last request, or of a body that waits for memory, are
        held until the next call. A request that is malformed or over a limit
        sets `refusal`.

        Args:
            data: received bytes.
            max_requests: number of requests after which bytes are held; some
                more may be returned.
        """
        if self.refusal is not None:
            return []
        try:
            self._feed_parts(self._held + data, max_requests)
            self._charge_incomplete()
        except RefusedError as error:
            # The errors of the parser refer to each other and to what was
            # parsed, which would stay until the next garbage collection.
            error.__traceback__ = error.__context__ = None
            self.refuse(error.refusal)
        completed, self._completed = self._completed, []
        return completed

    def _feed_parts(self, data: bytes, max_requests: int) -> None:
        self._held = b""
        view = memoryview(data)
        start = 0
        while start < len(view):
            if len(self._completed) >= max_requests or self.is_waiting:
                self._held = data[start:]
                return
            size = BODY_PART_BYTES if self.is_in_body else HEAD_PART_BYTES
            self._feed_part(view[start : start + size])
            start += size

    def _feed_part(self, data: memoryview) -> None:
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, RefusedError):
                raise cause from None
            raise _make_malformed_error() from error
        except httptools.HttpParserUpgrade as error:
            # The parser takes what follows for another protocol, so the body
            # of the request was not read.
            self._completed.pop().release()
            raise _make_malformed_error() from error
        except httptools.HttpParserError as error:
            raise _make_malformed_error() from error
        self._count_unparsed(len(data))

    def _count_unparsed(self, size: int) -> None:
        """Counts a part in which there may be an incomplete line.

        The parser buffers such a line, in the head or in the trailers behind
        the body, without a callback.
        """
        if self._has_progressed or not (self.is_in_head or self.is_in_body):
            return
        self._unparsed_bytes += size
        if self._unparsed_bytes > self._limits.head_bytes:
            raise _make_head_error()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._limits = self._find_limits()
        self._has_progressed = True
        self.is_in_head = True
        self._url = b""
        self._headers = {}
        self._head_bytes = 0
        self._head_lines = 0
        self._unparsed_bytes = 0
        self._body = io.BytesIO()
        self._body_bytes = 0
        self._checked_bytes = 0
        self._granted_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; ignores a trailer after the body."""
        self._count_head(len(name) + len(value))
        if not self.is_in_head:
            return
        self._head_lines += 1
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        if key in self._headers:
            text = f"{self._headers[key]}, {text}"
        self._headers[key] = text

    def on_headers_complete(self) -> None:
        """Checks the declared length and starts an upload if needed."""
        self.is_in_head = False
        self.is_in_body = True
        self._unparsed_bytes = 0
        if self._headers.get("expect", "").lower() == "100-continue":
            self.wants_continue = True
        text = self._headers.get("content-length", "0")
        length = http.parse_length(text)
        if length is None:
            raise _make_body_error()
        if length > self._limits.body_bytes:
            if length > self._limits.upload_bytes:
                raise _make_body_error()
            self.upload = uploads.Upload(length, self._transport)
            self._add_request(b"")
        elif length:
            self._take_memory(length)

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self._has_progressed = True
        self._unparsed_bytes = 0
        if self.upload is not None:
            self.upload.receive(data)
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            raise _make_body_error()
        if self._body_bytes > self._granted_bytes:
            self._extend_memory()
        self._body.write(data)

    def on_message_complete(self) -> None:
        """Completes the request or its upload."""
        self.is_in_body = False
        self.wants_continue = False
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.end()
            return
        if self._grant is not None:
            self._grant.shrink(self._body_bytes)
        body, self._body = self._body.getvalue(), io.BytesIO()
        self._add_request(body)

    def _add_request(self, body: bytes) -> None:
        parser = self._parser
        request = http.Request(
            method=parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=body,
            peer=self._peer,
            upload=self.upload,
        )
        self._completed.append(
            ParsedRequest(
                request,
                parser.should_keep_alive(),
                parser.get_http_version() != "1.1",
                self._grant,
                self._take_charge(),
            )
        )
        self._grant = None
        # An idle connection would keep the head of its last request.
        self._headers = {}
        self._url = b""

    def _take_charge(self) -> memory.Charge:
        """Returns the charge of the request, which is complete."""
        self._set_charge(self._estimate_size())
        charge, self._charge = self._charge, None
        assert charge is not None
        charge.complete()
        self._head_bytes = self._head_lines = self._unparsed_bytes = 0
        return charge

    def _charge_incomplete(self) -> None:
        """Charges what is held beside the granted body.

        Raises:
            RefusedError: if there is no memory for it.
        """
        if not (self.is_in_head or self.is_in_body or self._held):
            return
        size = self._estimate_size() + len(self._held)
        if self.is_waiting:
            size += self._body_bytes
        self._set_charge(size)

    def _estimate_size(self) -> int:
        characters = max(self._head_bytes, self._unparsed_bytes)
        lines = memory.estimate_head(self._head_lines, characters)
        return memory.REQUEST_BYTES + lines

    def _set_charge(self, size: int) -> None:
        if self._charge is None:
            is_ahead = bool(self._completed)
            self._charge = self._heads.open(self._on_evicted, is_ahead)
        if size != self._charge.size and not self._charge.resize(size):
            raise make_memory_error()

    def _extend_memory(self) -> None:
        """Takes memory for a body without a declared length.

        A body that is not small takes the most that it may need at once: two
        that each wait for the rest would never end.
        """
        if self._body_bytes <= memory.SMALL_BODY_BYTES:
            self._take_memory(memory.SMALL_BODY_BYTES)
            return
        size = self._limits.body_bytes
        if self._memory is not None:
            size = min(size, self._memory.largest_bytes)
        self._take_memory(max(size, self._body_bytes))

    def _release_grant(self) -> None:
        grant, self._grant = self._grant, None
        if grant is not None:
            grant.release()

    def _take_memory(self, size: int) -> None:
        """Takes memory for a body in place of what it has.

        Raises:
            RefusedError: if the body never fits.
        """
        self._granted_bytes = size
        if self._memory is None:
            return
        self._release_grant()
        self._grant = self._memory.take(size, self._on_granted)
        if self._grant is None:
            raise make_memory_error()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            raise _make_head_error()


def _ignore() -> None:
    """Does nothing, for a connection that is lost."""


def _make_malformed_error() -> RefusedError:
    return RefusedError(400, "FL-HTTP-MALFORMED", "request is malformed")


def _make_head_error() -> RefusedError:
    return RefusedError(431, "FL-HTTP-HEAD", "request head is too large")


def make_memory_error() -> RefusedError:
    """Returns the refusal of a request that finds no memory."""
    return RefusedError(503, NO_MEMORY, "no memory for the request")


def _make_body_error() -> RefusedError:
    return RefusedError(413, "FL-HTTP-BODY", "request body is too large")
