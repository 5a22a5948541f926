"""Records that the HTTP server and client share."""

from collections.abc import Iterable
import json

import attrs

from filbertlift_core import model
from filbertlift_transport import uploads
from filbertlift_wire import headers as wire_headers

Header = wire_headers.Header

# Each connection has its own framing; these never travel from one to another.
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


@attrs.frozen
class Limits:
    """Limits of an HTTP server; sizes in bytes, times in seconds.

    Attributes:
        head_bytes: request line and headers.
        body_bytes: body of one request that is collected.
        upload_bytes: body of one request that arrives in parts. It needs a
            declared length over `body_bytes`; 0 refuses such requests.
        connections: connections at once; one more is answered 503.
        head_s: time to send a whole head.
        body_s: time to send a whole body.
        idle_s: time without a request on a connection, or in which a caller
            reads nothing of its answer.
    """

    head_bytes: int = 32_768
    body_bytes: int = 1_048_576
    upload_bytes: int = 0
    connections: int = 2_000
    head_s: float = 10.0
    body_s: float = 30.0
    idle_s: float = 60.0


@attrs.frozen
class Request:
    """A request.

    Attributes:
        method: method in upper case.
        path: target as received, with the query.
        headers: values by lower-case name; repeated ones are joined.
        body: the whole body, empty if there is an upload.
        peer: address of the caller.
        upload: the body, if it arrives in parts.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: model.Address
    upload: uploads.Upload | None = None


def make_head(
    first_line: str, headers: Iterable[Header], framing: str
) -> bytes:
    """Returns a head whose framing headers are only those given.

    Args:
        first_line: request or status line.
        headers: headers; those of FRAMING_HEADERS are left out.
        framing: lines that end in CRLF, or nothing.

    Raises:
        ValueError: if a header would start a new line.
    """
    lines = [first_line]
    for header in headers:
        if header.name.lower() not in FRAMING_HEADERS:
            lines.append(f"{header.name}: {header.value}")
    text = "\r\n".join(lines)
    breaks = len(lines) - 1
    if text.count("\n") != breaks or text.count("\r") != breaks:
        raise ValueError("a header contains a line break")
    return f"{text}\r\n{framing}\r\n".encode("latin-1", "replace")


def make_error_body(code: str, message: str) -> bytes:
    """Returns the JSON body of an error answer."""
    return json.dumps({"code": code, "message": message}).encode()
