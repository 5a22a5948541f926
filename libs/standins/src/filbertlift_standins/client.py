"""Minimal HTTP/1.1 client on httptools with connection pools.

The load generator shares a CPU core with the system that it measures. To keep
its own cost low, a request takes one write and one timer, and no agent or
header objects.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs
import httptools
from twisted.internet import defer
from twisted.internet import error as net_errors
from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import exceptions
from filbertlift_core import model

BodySink = Callable[[bytes], None]


class RequestError(exceptions.FilbertliftError):
    """A request got no complete response.

    Attributes:
        reason: `refused` (the request was not sent), `lost` or `timeout`.
    """

    code = "FL-CALLER"

    def __init__(self, reason: str) -> None:
        super().__init__(f"the request ended without an answer: {reason}")
        self.reason = reason


@attrs.frozen
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define(eq=False)
class _Exchange:
    """A request and its pending response."""

    data: bytes
    result: "defer.Deferred[Response]"
    sink: BodySink | None
    timer: Any = None
    connection: "_Connection | None" = None


class _Connection(protocol.Protocol):
    """A connection that carries one request at a time."""

    transport: Any

    def __init__(self, pool: "_Pool") -> None:
        self._pool = pool
        self._exchange: _Exchange | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._close = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self._pool.add(self)

    def send(self, exchange: _Exchange) -> None:
        self._exchange = exchange
        exchange.connection = self
        self.transport.write(exchange.data)

    def abort(self) -> None:
        self._exchange = None
        self.transport.abortConnection()

    def close(self) -> None:
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, ARG002
        exchange, self._exchange = self._exchange, None
        self._pool.remove(self)
        if exchange is not None:
            _fail(exchange, "lost")

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        self._headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        exchange = self._exchange
        if exchange is not None and exchange.sink is not None:
            exchange.sink(body)
            return
        self._parts.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        response = Response(status, self._headers, b"".join(self._parts))
        close = not self._parser.should_keep_alive()
        self._headers, self._parts = {}, []
        exchange, self._exchange = self._exchange, None
        if exchange is None or close:
            self.transport.loseConnection()
        else:
            self._pool.add(self)
        if exchange is not None:
            _stop_timer(exchange)
            exchange.result.callback(response)


def _stop_timer(exchange: _Exchange) -> None:
    if exchange.timer is not None and exchange.timer.active():
        exchange.timer.cancel()


def _fail(exchange: _Exchange, reason: str) -> None:
    _stop_timer(exchange)
    if not exchange.result.called:
        exchange.result.errback(failure.Failure(RequestError(reason)))


class _ConnectionFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, pool: "_Pool") -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802, ARG002
        return _Connection(self._pool)

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: Any,  # noqa: ARG002
        reason: failure.Failure,
    ) -> None:
        refused = reason.check(net_errors.ConnectError) is not None
        self._pool.fail_connect("refused" if refused else "lost")


class _Pool:
    """Connections to one address and the requests that wait for them."""

    def __init__(
        self, reactor: Any, address: model.Address, limit: int
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._limit = limit
        self._idle: list[_Connection] = []
        self._all: set[_Connection] = set()
        self._connecting = 0
        self._waiting: list[_Exchange] = []

    def submit(self, exchange: _Exchange) -> None:
        if self._idle:
            self._idle.pop().send(exchange)
            return
        self._waiting.append(exchange)
        self._connect()

    def _connect(self) -> None:
        if len(self._all) + self._connecting >= self._limit:
            return
        self._connecting += 1
        self._reactor.connectTCP(
            self._address.host,
            self._address.port,
            _ConnectionFactory(self),
            timeout=5,
        )

    def add(self, connection: _Connection) -> None:
        """Takes a new connection, or one whose request has ended."""
        if connection not in self._all:
            self._connecting -= 1
            self._all.add(connection)
        if self._waiting:
            connection.send(self._waiting.pop(0))
            return
        self._idle.append(connection)

    def remove(self, connection: _Connection) -> None:
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            # At the limit, the waiting requests started no connection of
            # their own, so the lost one is replaced.
            self._connect()

    def fail_connect(self, reason: str) -> None:
        self._connecting -= 1
        if self._waiting and not self._all:
            _fail(self._waiting.pop(0), reason)

    def remove_waiting(self, exchange: _Exchange) -> None:
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def close(self) -> None:
        for connection in list(self._all):
            connection.close()


class Client:
    """Sends requests over pooled connections."""

    def __init__(self, reactor: Any, connections: int = 100) -> None:
        self._reactor = reactor
        self._connections = connections
        self._pools: dict[model.Address, _Pool] = {}

    def request(
        self,
        address: model.Address,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 10.0,
        sink: BodySink | None = None,
    ) -> "defer.Deferred[Response]":
        """Sends one request.

        Args:
            address: address of the server.
            method: HTTP method.
            target: path and query.
            headers: additional headers.
            body: body of the request.
            timeout_s: seconds within which the response must be complete.
            sink: called with each part of the response body as it arrives;
                the body of the response is then empty.

        Returns:
            The complete response, or a failure with RequestError.
        """
        lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        exchange = _Exchange(data, defer.Deferred(), sink)
        exchange.timer = self._reactor.callLater(
            timeout_s, self._time_out, address, exchange
        )
        self._find_pool(address).submit(exchange)
        return exchange.result

    def close(self) -> None:
        """Closes every connection."""
        for pool in self._pools.values():
            pool.close()

    def _find_pool(self, address: model.Address) -> _Pool:
        if address not in self._pools:
            pool = _Pool(self._reactor, address, self._connections)
            self._pools[address] = pool
        return self._pools[address]

    def _time_out(self, address: model.Address, exchange: _Exchange) -> None:
        if exchange.connection is None:
            self._find_pool(address).remove_waiting(exchange)
        else:
            exchange.connection.abort()
        _fail(exchange, "timeout")
