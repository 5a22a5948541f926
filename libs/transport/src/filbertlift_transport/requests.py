"""Collects received bytes into HTTP requests within limits."""

from typing import Any

import attrs
import httptools

from filbertlift_core import model
from filbertlift_transport import http
from filbertlift_transport import uploads


class RefusedError(Exception):
    """A request over a limit; carries the status to answer."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


@attrs.frozen
class Parsed:
    """A request with what its answer depends on."""

    request: http.Request
    keep: bool
    is_old: bool


@attrs.define(eq=False)
class RequestReader:
    """State of one connection's parser.

    `feed` returns whole requests; `is_in_head` and `is_in_body` tell what a
    slow sender still owes.
    """

    _limits: http.Limits
    _peer: model.Address
    _transport: Any
    upload: uploads.Upload | None = None
    is_in_head: bool = False
    is_in_body: bool = False
    wants_continue: bool = False
    _found: list[Parsed] = attrs.field(factory=list)
    _url: bytes = b""
    _headers: dict[str, str] = attrs.field(factory=dict)
    _head_bytes: int = 0
    _unparsed_bytes: int = 0
    _body: list[bytes] = attrs.field(factory=list)
    _body_bytes: int = 0
    _parser: Any = None

    def feed(self, data: bytes) -> list[Parsed]:
        """Returns the requests completed by these bytes.

        Raises:
            RefusedError: if the bytes are malformed or over a limit.
        """
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        was_in_head = self.is_in_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, RefusedError):
                raise cause from None
            raise _refuse_malformed() from error
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise _refuse_malformed() from error
        # The parser holds an unfinished header line without a callback, so
        # the received bytes are counted as well.
        if was_in_head and self.is_in_head:
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > self._limits.head_bytes:
                raise _refuse_head()
        found, self._found = self._found, []
        return found

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """A request starts."""
        self.is_in_head = True
        self._url = b""
        self._headers = {}
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Part of the target arrived."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer after the body, which is left out."""
        self._count_head(len(name) + len(value))
        if not self.is_in_head:
            return
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        if key in self._headers:
            text = f"{self._headers[key]}, {text}"
        self._headers[key] = text

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.is_in_head = False
        self.is_in_body = True
        text = self._headers.get("content-length", "0")
        length = int(text) if text.isdigit() else 0
        if length > self._limits.body_bytes:
            if length > self._limits.upload_bytes:
                raise _refuse_body()
            self.upload = uploads.Upload(length, self._transport)
            self._add_request(b"")
        if self._headers.get("expect", "").lower() == "100-continue":
            self.wants_continue = True

    def on_body(self, data: bytes) -> None:
        """Part of the body arrived."""
        if self.upload is not None:
            self.upload.receive(data)
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            raise _refuse_body()
        self._body.append(data)

    def on_message_complete(self) -> None:
        """The request is complete."""
        self.is_in_body = False
        self.wants_continue = False
        upload, self.upload = self.upload, None
        if upload is not None:
            upload.end()
            return
        self._add_request(b"".join(self._body))

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
        self._found.append(
            Parsed(
                request,
                parser.should_keep_alive(),
                parser.get_http_version() != "1.1",
            )
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            raise _refuse_head()


def _refuse_malformed() -> RefusedError:
    return RefusedError(400, "FL-HTTP-MALFORMED", "request is malformed")


def _refuse_head() -> RefusedError:
    return RefusedError(431, "FL-HTTP-HEAD", "request head is too large")


def _refuse_body() -> RefusedError:
    return RefusedError(413, "FL-HTTP-BODY", "request body is too large")
