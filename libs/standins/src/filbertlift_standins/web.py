"""HTTP/1.1 server on httptools that the stand-ins share.

The stand-ins simulate faults, so unlike a general-purpose server this one can
leave a request without a response, close the connection instead of responding
and report that the client closed the connection.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
import http
from typing import Any
import urllib.parse

import attrs
import httptools
import orjson
from twisted.internet import protocol

from filbertlift_core import model

# Limit of requests that wait for an earlier one on the same connection.
_MAX_PIPELINED = 32


@attrs.frozen
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def get_number(self, name: str, default: float) -> float:
        """Returns a number from the query, or the default.

        Raises:
            ValueError: if the text is not a number.
        """
        text = self.query.get(name)
        return default if text is None else float(text)


Handler = Callable[["Exchange"], None]


@attrs.define(eq=False)
class Exchange:
    """A request and the means to respond to it once.

    Attributes:
        request: the request.
        connection: the connection that the request arrived on.
        head_sent: whether the head of the response was sent.
        on_lost: called if the connection is lost before the response ends.
    """

    request: Request
    connection: "ServerConnection"
    head_sent: bool = False
    on_lost: Callable[[], None] | None = None

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a complete response; does nothing on a silent connection."""
        self.begin(status, len(body), headers)
        self.write(body)
        self.finish()

    def respond_json(
        self,
        value: Any,
        status: int = 200,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a complete response with a JSON body."""
        body = orjson.dumps(value, option=orjson.OPT_INDENT_2) + b"\n"
        content = {"Content-Type": "application/json", **(headers or {})}
        self.respond(status, body, content)

    def begin(
        self, status: int, length: int, headers: Mapping[str, str] | None = None
    ) -> None:
        """Sends the head of a response whose body is written in parts."""
        self.head_sent = True
        lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        # A 304 response has no body and therefore no length.
        if status != http.HTTPStatus.NOT_MODIFIED:
            lines.append(f"Content-Length: {length}")
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Sends part of the body."""
        self.connection.send(data)

    def finish(self) -> None:
        """Ends the response; the next request of the connection follows."""
        self.on_lost = None
        self.connection.end_exchange(self)

    def abort(self) -> None:
        """Closes the connection without the rest of the response."""
        self.on_lost = None
        self.connection.abort()


class ServerConnection(protocol.Protocol):
    """A connection of a client; its requests are handled in order.

    Attributes:
        silent: if true, nothing is sent on this connection any more.
        position: number of open connections when this one was accepted,
            including itself.
        served: number of requests begun on this connection.
    """

    transport: Any

    def __init__(self, server: "Server") -> None:
        self.server = server
        self.position = 0
        self.silent = False
        self.served = 0
        self.current: Exchange | None = None
        self._waiting: deque[Request] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection with the server."""
        self.transport.setTcpNoDelay(True)
        self.server.connections.add(self)
        self.server.accepted += 1
        self.position = len(self.server.connections)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, ARG002
        """Calls `on_lost` of an unfinished request."""
        self.server.connections.discard(self)
        current, self.current = self.current, None
        self._waiting.clear()
        if current is not None and current.on_lost is not None:
            current.on_lost()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses received bytes; a malformed request ends the connection."""
        self.server.bytes_received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError):
            self.abort()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header under its name in lower case."""
        key = name.decode("latin-1").lower()
        self._headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Queues the request; it begins after the earlier ones end."""
        url = httptools.parse_url(self._url)
        query = (url.query or b"").decode("latin-1")
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            path=urllib.parse.unquote(url.path.decode("latin-1")),
            query=dict(urllib.parse.parse_qsl(query)),
            headers=self._headers,
            body=b"".join(self._parts),
        )
        self._url, self._headers, self._parts = b"", {}, []
        self._waiting.append(request)
        if len(self._waiting) > _MAX_PIPELINED:
            self.abort()
        self._begin_next()

    def _begin_next(self) -> None:
        if self.current is not None or not self._waiting:
            return
        exchange = Exchange(self._waiting.popleft(), self)
        self.current = exchange
        self.served += 1
        self.server.handler(exchange)

    def send(self, data: bytes) -> None:
        """Sends bytes unless the connection is silent."""
        if self.silent or not data:
            return
        self.server.bytes_sent += len(data)
        self.transport.write(data)

    def end_exchange(self, exchange: Exchange) -> None:
        """Begins the next request of the connection."""
        if self.current is not exchange or self.silent:
            return
        self.current = None
        self._begin_next()

    def close(self) -> None:
        """Closes the connection once the written data is sent."""
        self.transport.loseConnection()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._waiting.clear()
        self.transport.abortConnection()


class Server(protocol.Factory):
    """Accepts connections and passes each request to a handler."""

    noisy = False

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.connections: set[ServerConnection] = set()
        self.accepted = 0
        self.bytes_received = 0
        self.bytes_sent = 0

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802, ARG002
        """Returns the protocol of a new connection."""
        return ServerConnection(self)

    def abort_connections(self) -> None:
        """Closes every connection at once."""
        for connection in list(self.connections):
            connection.abort()


class FaultError(ValueError):
    """A change of the faults has an unknown field or a wrong type."""


def update_record(record: Any, values: Any) -> None:
    """Sets fields of an attrs object from a JSON object, all or none.

    Raises:
        FaultError: if a field is unknown or a value has the wrong type.
    """
    if not isinstance(values, dict):
        raise FaultError("the body is not a JSON object")
    known = {field.name: field for field in attrs.fields(type(record))}
    checked = {}
    for name, value in values.items():
        if name not in known:
            raise FaultError(f"unknown field {name}; known: {sorted(known)}")
        current = getattr(record, name)
        number = isinstance(value, (int, float))
        if isinstance(current, str) != isinstance(value, str):
            raise FaultError(f"{name} is {value!r}, not text")
        if not isinstance(current, str) and not number:
            raise FaultError(f"{name} is {value!r}, not a number or boolean")
        checked[name] = type(current)(value)
    for name, value in checked.items():
        setattr(record, name, value)


def parse_json(data: bytes) -> Any:
    """Returns the value of a JSON text.

    Raises:
        ValueError: if the text is not JSON.
    """
    return orjson.loads(data)


def handle_faults(
    exchange: Exchange, record: Any, on_change: Callable[[], None]
) -> None:
    """Handles `/-/faults`: GET returns the faults, POST changes them."""
    if exchange.request.method != "POST":
        exchange.respond_json(attrs.asdict(record))
        return
    try:
        update_record(record, parse_json(exchange.request.body))
    except ValueError as error:
        exchange.respond(400, f"{error}\n".encode())
        return
    on_change()
    exchange.respond_json(attrs.asdict(record))


def listen(
    reactor: Any, address: model.Address, factory: protocol.Factory
) -> Any:
    """Listens on an address and returns the Twisted port."""
    return reactor.listenTCP(
        address.port, factory, backlog=512, interface=address.host
    )
