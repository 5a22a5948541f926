"""Pooled HTTP client of the call path."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import model
from filbertlift_transport import http
from filbertlift_transport import outputs
from filbertlift_transport import responses

CONNECT_TIMEOUT_S = 1.0
# A target may close an idle connection at any time; a request sent at that
# moment is of unknown outcome, so connections are not kept for long.
IDLE_LIMIT_S = 15.0
MAX_HEAD_BYTES = 32_768


@attrs.frozen
class ClientFailure:
    """Why a request got no complete answer.

    Attributes:
        reason: `connect-failed`, `pool-full`, `pool-closed`, `lost`,
            `truncated`, `malformed`, `head-too-large` or `no-length`.
        message: what happened, in one sentence.
        sent: whether any byte of the request may have reached the target.
    """

    reason: str
    message: str
    sent: bool


@attrs.frozen
class ClientEvents:
    """Functions that a call of the client calls.

    Attributes:
        on_head: status, headers and length of the body if it is known.
        on_data: part of the body.
        on_end: the body is complete.
        on_failure: no complete answer will arrive; last event of the call.
    """

    on_head: Callable[[int, tuple[http.Header, ...], int | None], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[[], None]
    on_failure: Callable[[ClientFailure], None]


class ClientCall:
    """One request on one connection of the pool."""

    def __init__(
        self, request: bytes, is_head: bool, events: ClientEvents
    ) -> None:
        self.request = request
        self.is_head = is_head
        self.events = events
        self.is_over = False
        self.is_paused = False
        self._connection: ClientConnection | None = None
        self._is_sent = False

    def attach(self, connection: "ClientConnection") -> None:
        """Remembers the connection that carries the call."""
        self._connection = connection

    def send(self, output: outputs.Output) -> None:
        """Writes the request."""
        self._is_sent = True
        output.write(self.request)
        if self.is_paused and self._connection is not None:
            self._connection.transport.pauseProducing()

    def cancel(self) -> None:
        """Ends the call without further events; closes its connection."""
        if self.is_over:
            return
        self.is_over = True
        if self._connection is not None:
            self._connection.drop()

    def pause(self) -> None:
        """Stops reading the answer."""
        if self.is_over or self.is_paused:
            return
        self.is_paused = True
        if self._is_sent and self._connection is not None:
            self._connection.transport.pauseProducing()

    def resume(self) -> None:
        """Reads the answer again."""
        if self.is_over or not self.is_paused:
            return
        self.is_paused = False
        if self._is_sent and self._connection is not None:
            self._connection.transport.resumeProducing()

    def end(self) -> None:
        """The answer is complete."""
        self.is_over = True
        self._connection = None
        self.events.on_end()

    def fail(self, reason: str, message: str) -> None:
        """The answer will not be complete."""
        if self.is_over:
            return
        self.is_over = True
        self._connection = None
        self.events.on_failure(ClientFailure(reason, message, self._is_sent))


class ClientConnection(protocol.Protocol):
    """One connection to the target."""

    transport: Any

    def __init__(self, pool: "HttpPool", call: ClientCall) -> None:
        self.idle_since = 0.0
        self._pool = pool
        self._call: ClientCall | None = call
        self._connector: Any = None
        self._output: outputs.Output
        self._is_closed = False
        self._reader = responses.ResponseReader(MAX_HEAD_BYTES)
        call.attach(self)

    def connect(self, reactor: Any, address: model.Address) -> None:
        """Starts the connection."""
        self._connector = reactor.connectTCP(
            address.host,
            address.port,
            _ClientFactory(self),
            timeout=CONNECT_TIMEOUT_S,
        )

    def start(self, call: ClientCall) -> None:
        """Sends another request."""
        self._call = call
        call.attach(self)
        self._send(call)

    def drop(self) -> None:
        """Closes the connection at once, whatever is under way."""
        self._call = None
        if self._is_closed:
            return
        self._is_closed = True
        self._pool.remove(self)
        if self.transport is not None:
            self.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()

    def fail_connect(self, message: str) -> None:
        """No connection could be established."""
        self._finish("connect-failed", message)

    # Twisted's protocol interface.

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the request that the connection was opened for."""
        if self._is_closed:
            self.transport.abortConnection()
            return
        self._output = outputs.Output(self.transport, lambda: None)
        if self._call is not None:
            self._send(self._call)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        if self._is_closed:
            return
        if self._call is None:
            # Bytes that no request asked for cannot be assigned to one.
            self.drop()
            return
        try:
            self._reader.feed(data)
        except responses.ResponseError as error:
            self._finish(error.reason, error.message)
            return
        if self._reader.is_complete and self._call is not None:
            self._end_call()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Reports a call that is not complete."""
        if self._is_closed:
            return
        code = "truncated" if self._reader.has_head else "lost"
        self._finish(code, reason.getErrorMessage())

    def _send(self, call: ClientCall) -> None:
        self._reader.start(call)
        call.send(self._output)

    def _end_call(self) -> None:
        call, self._call = self._call, None
        assert call is not None
        if not self._reader.keeps_alive or call.is_paused:
            self.drop()
        else:
            self._pool.put_idle(self)
        if not call.is_over:
            call.end()

    def _finish(self, reason: str, message: str) -> None:
        call = self._call
        self.drop()
        if call is not None:
            call.fail(reason, message)


class _ClientFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection

    def buildProtocol(self, _address: Any) -> ClientConnection:  # noqa: N802
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self, _connector: Any, reason: failure.Failure
    ) -> None:
        self._connection.fail_connect(reason.getErrorMessage())


class HttpPool:
    """Connections to one target, at most `max_connections`.

    A request goes over an idle connection or a new one. It is never sent
    twice: what became of a request on a lost connection is not known.
    """

    def __init__(
        self, reactor: Any, address: model.Address, max_connections: int
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._max_connections = max_connections
        self._host = f"Host: {address}\r\n"
        self._connections: set[ClientConnection] = set()
        self._idle: list[ClientConnection] = []
        self._idle_call: Any = None
        self._is_closed = False

    @classmethod
    def from_address(
        cls, reactor: Any, address: model.Address, max_connections: int
    ) -> "HttpPool":
        """Returns a pool for a target; connections are opened on demand."""
        return cls(reactor, address, max_connections)

    @property
    def connections(self) -> int:
        """Number of connections, open or being opened."""
        return len(self._connections)

    @property
    def idle(self) -> int:
        """Number of connections that wait for a request."""
        return len(self._idle)

    def request(
        self,
        method: str,
        path: str,
        headers: Iterable[http.Header],
        body: bytes,
        events: ClientEvents,
    ) -> ClientCall:
        """Sends a request; a failure before that is reported by event.

        Raises:
            ValueError: if the target or a header contains a line break.
        """
        framing = self._host
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framing += f"Content-Length: {len(body)}\r\n"
        head = http.make_head(f"{method} {path} HTTP/1.1", headers, framing)
        call = ClientCall(head + body, method == "HEAD", events)
        if self._is_closed:
            self._fail_soon(call, "pool-closed", "the pool is closed")
        elif self._idle:
            self._idle.pop().start(call)
        elif len(self._connections) >= self._max_connections:
            self._fail_soon(call, "pool-full", "no connection is free")
        else:
            connection = ClientConnection(self, call)
            self._connections.add(connection)
            connection.connect(self._reactor, self._address)
        return call

    def set_max_connections(self, max_connections: int) -> None:
        """Changes the limit; connections above it end with their call."""
        self._max_connections = max_connections

    def close(self) -> None:
        """Closes idle connections now and the others after their call."""
        self._is_closed = True
        if self._idle_call is not None and self._idle_call.active():
            self._idle_call.cancel()
        for connection in list(self._idle):
            connection.drop()

    def put_idle(self, connection: ClientConnection) -> None:
        """Keeps a connection for the next request."""
        if self._is_closed or len(self._connections) > self._max_connections:
            connection.drop()
            return
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)
        if self._idle_call is None:
            self._idle_call = self._reactor.callLater(
                IDLE_LIMIT_S, self._close_idle
            )

    def remove(self, connection: ClientConnection) -> None:
        """Forgets a connection that is gone."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _close_idle(self) -> None:
        self._idle_call = None
        limit = self._reactor.seconds() - IDLE_LIMIT_S
        for connection in list(self._idle):
            if connection.idle_since <= limit:
                connection.drop()
        if self._idle:
            oldest = min(item.idle_since for item in self._idle)
            self._idle_call = self._reactor.callLater(
                oldest - limit, self._close_idle
            )

    def _fail_soon(self, call: ClientCall, reason: str, message: str) -> None:
        # The caller gets the call before its failure.
        self._reactor.callLater(0, call.fail, reason, message)
