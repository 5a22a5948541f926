"""Records and helpers that the HTTP server and client share."""

from collections.abc import Iterable
import json

import attrs

from filbertlift_core import model
from filbertlift_transport import uploads
from filbertlift_wire import headers as wire_headers

Header = wire_headers.Header

# Each connection has its own framing, so these headers are never forwarded.
FRAMING_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "upgrade",
    )
)
# Digits of the longest number in a header that is read; a longer one does not
# fit the messages between nodes.
MAX_DIGITS = 15
# Versions of HTTP in which a response may come on a connection of HTTP/1.1.
RESPONSE_VERSIONS = ("1.0", "1.1")
# Least status of any response, least one of a final one, and greatest one.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


# Limit for connections that wait for their callers to close.
MAX_LINGERING = 256


@attrs.frozen
class Limits:
    """Limits of an HTTP server; sizes in bytes, times in seconds.

    Attributes:
        head_bytes: request line and headers.
        body_bytes: request body that is buffered as a whole.
        upload_bytes: request body that is passed on in parts, which needs a
            declared length over `body_bytes`; 0 refuses such requests.
        connections: concurrent connections; beyond, the one that has waited
            longest without a whole request is closed, and the new one is
            answered 503 if there is none.
        lingering: further connections that wait for their callers to close,
            unless the server stops; others are closed at once.
        head_s: time to send a whole request head.
        body_s: time to send a whole request body.
        idle_s: time without a request on a connection, or time in which a
            caller reads nothing of its response.
        receive_bytes: receive buffer of a connection in the kernel; 0 for the
            kernel's own size.
    """

    head_bytes: int = 32_768
    body_bytes: int = 1_048_576
    upload_bytes: int = 0
    connections: int = 2_000
    lingering: int = MAX_LINGERING
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 60.0
    receive_bytes: int = 0


@attrs.frozen
class Request:
    """A request received by the server.

    Attributes:
        method: method in upper case.
        path: request target as received, with the query.
        headers: values by lower-case name; repeated headers are joined by
            commas.
        body: the whole body, empty if there is an upload.
        peer: address of the caller.
        upload: the body, if it is passed on in parts.
    """

    method: str
    path: str
    # Headers and the body may contain credentials of the caller.
    headers: dict[str, str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    peer: model.Address
    upload: uploads.Upload | None = None


def make_head(
    first_line: str, headers: Iterable[Header], framing: str
) -> bytes:
    """Returns the head of a request or response.

    Args:
        first_line: request or status line.
        headers: headers; those in FRAMING_HEADERS are left out.
        framing: framing headers as lines that end in CRLF, or an empty string.

    Raises:
        ValueError: if the first line or a header contains a line break.
    """
    lines = [first_line]
    for header in headers:
        if header.name.lower() not in FRAMING_HEADERS:
            lines.append(f"{header.name}: {header.value}")
    text = "\r\n".join(lines)
    expected = len(lines) - 1
    if text.count("\n") != expected or text.count("\r") != expected:
        raise ValueError("a header contains a line break")
    return f"{text}\r\n{framing}\r\n".encode("latin-1", "replace")


def is_final_status(status: int) -> bool:
    """Returns whether a status is one of those that end a request."""
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def find_head_fault(status: int, version: str) -> str:
    """Returns why the head of a response is none of HTTP/1.1, or "".

    The parser takes any three digits for a status, and other versions.

    Args:
        status: HTTP status.
        version: version of HTTP, such as `1.1`.
    """
    if version not in RESPONSE_VERSIONS:
        return f"response of HTTP/{version}"
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"response with the status {status:03}"
    return ""


def parse_length(text: str) -> int | None:
    """Returns the number in a header, or None if it is none or too large."""
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None


def make_error_body(code: str, message: str) -> bytes:
    """Returns the JSON body of an error response."""
    return json.dumps({"code": code, "message": message}).encode()
