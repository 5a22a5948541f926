"""HTTP client with a connection pool."""

from collections.abc import Iterable
from typing import Any

from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import model
from filbertlift_transport import clientcall
from filbertlift_transport import dialling
from filbertlift_transport import http
from filbertlift_transport import outputs
from filbertlift_transport import responses

CONNECT_TIMEOUT_S = 1.0
# A target may close an idle connection at any time. The outcome of a request
# sent at that moment is unknown, so idle connections are closed early.
IDLE_LIMIT_S = 15.0
MAX_HEAD_BYTES = 32_768


ClientCall = clientcall.ClientCall
ClientEvents = clientcall.ClientEvents
ClientFailure = clientcall.ClientFailure


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
        """Opens the connection."""
        self._connector = dialling.dial(
            reactor, address, self, CONNECT_TIMEOUT_S
        )

    def start(self, call: ClientCall) -> None:
        """Sends another request on this connection."""
        self._call = call
        call.attach(self)
        self._send(call)

    def drop(self) -> None:
        """Closes the connection at once, even during a call."""
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
        """Fails the call because no connection could be established."""
        self._finish("connect-failed", message)

    # Twisted's protocol interface.

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the request that the connection was opened for."""
        if self._is_closed:
            self.transport.abortConnection()
            return
        self._output = outputs.Output(self.transport, self._report_drained)
        if self._call is not None:
            self._send(self._call)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        if self._is_closed:
            return
        if self._call is None:
            # Data received without a current request belongs to no response.
            self.drop()
            return
        try:
            self._reader.feed(data)
        except responses.ResponseError as error:
            self._finish(error.reason, error.message)
            return
        if self._reader.is_complete and self._call is not None:
            self._complete_call()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Fails a call whose response is incomplete."""
        if self._is_closed:
            return
        code = "truncated" if self._reader.has_head else "lost"
        self._finish(code, reason.getErrorMessage())

    @property
    def is_full(self) -> bool:
        """Whether the socket currently accepts no more bytes."""
        return self._output.is_full

    def write(self, data: bytes) -> None:
        """Sends part of a request."""
        self._output.write(data)

    def _report_drained(self) -> None:
        call = self._call
        if call is not None and call.on_drained is not None:
            call.on_drained()

    def _send(self, call: ClientCall) -> None:
        self._reader.start(call)
        call.send(self._output)
        if not call.is_fully_written:
            self._report_drained()

    def _complete_call(self) -> None:
        call, self._call = self._call, None
        assert call is not None
        is_reusable = call.is_fully_written and not call.is_paused
        if not self._reader.keeps_alive or not is_reusable:
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


class HttpPool:
    """Connections to one target, at most `max_connections`.

    A request is sent on an idle connection or a new one. It is never sent
    again, because the outcome of a request on a lost connection is unknown.
    """

    def __init__(
        self,
        reactor: Any,
        address: model.Address,
        max_connections: int,
        idle_limit_s: float = IDLE_LIMIT_S,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._max_connections = max_connections
        self._idle_limit_s = idle_limit_s
        self._host = f"Host: {address}\r\n"
        self._connections: set[ClientConnection] = set()
        self._idle: list[ClientConnection] = []
        self._idle_timer: Any = None
        self._is_closed = False

    @classmethod
    def from_address(
        cls,
        reactor: Any,
        address: model.Address,
        max_connections: int,
        idle_limit_s: float = IDLE_LIMIT_S,
    ) -> "HttpPool":
        """Returns a pool for a target; connections are opened on demand.

        Args:
            reactor: the reactor.
            address: address of the target.
            max_connections: highest number of connections.
            idle_limit_s: time after which an idle connection may be closed, in
                seconds; it is closed after twice this time at the latest.
        """
        return cls(reactor, address, max_connections, idle_limit_s)

    @property
    def connections(self) -> int:
        """Number of connections that are open or connecting."""
        return len(self._connections)

    @property
    def idle(self) -> int:
        """Number of open connections without a request."""
        return len(self._idle)

    def request(
        self,
        method: str,
        path: str,
        headers: Iterable[http.Header],
        body: bytes,
        events: ClientEvents,
        length: int | None = None,
    ) -> ClientCall:
        """Sends a request; every failure is reported by `on_failure`.

        Args:
            method: HTTP method.
            path: request target with query.
            headers: headers other than FRAMING_HEADERS.
            body: the body or its first part.
            events: callbacks of the call.
            length: bytes of the whole body if `ClientCall.write` sends the
                rest of it.

        Raises:
            ValueError: if the path or a header contains a line break.
        """
        size = len(body) if length is None else length
        framing = self._host
        if size or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framing += f"Content-Length: {size}\r\n"
        head = http.make_head(f"{method} {path} HTTP/1.1", headers, framing)
        call = ClientCall(
            head + body, method == "HEAD", events, size - len(body)
        )
        if self._is_closed:
            self._fail_later(call, "pool-closed", "the pool is closed")
        elif self._idle:
            self._idle.pop().start(call)
        elif len(self._connections) >= self._max_connections:
            self._fail_later(call, "pool-full", "no connection is free")
        else:
            connection = ClientConnection(self, call)
            self._connections.add(connection)
            connection.connect(self._reactor, self._address)
        return call

    def set_max_connections(self, max_connections: int) -> None:
        """Changes the limit; excess connections close after their call."""
        self._max_connections = max_connections

    def close(self) -> None:
        """Closes idle connections now and others after their call."""
        self._is_closed = True
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()
        for connection in list(self._idle):
            connection.drop()

    def put_idle(self, connection: ClientConnection) -> None:
        """Keeps a connection for the next request."""
        if self._is_closed or len(self._connections) > self._max_connections:
            connection.drop()
            return
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)
        if self._idle_timer is None:
            self._idle_timer = self._reactor.callLater(
                self._idle_limit_s, self._close_idle
            )

    def remove(self, connection: ClientConnection) -> None:
        """Removes a closed connection from the pool."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _close_idle(self) -> None:
        self._idle_timer = None
        cutoff = self._reactor.seconds() - self._idle_limit_s
        for connection in list(self._idle):
            if connection.idle_since <= cutoff:
                connection.drop()
        if self._idle:
            oldest = min(item.idle_since for item in self._idle)
            self._idle_timer = self._reactor.callLater(
                oldest - cutoff, self._close_idle
            )

    def _fail_later(self, call: ClientCall, reason: str, message: str) -> None:
        # Deferred, so that `request` returns the call before the call fails.
        self._reactor.callLater(0, call.fail, reason, message)
