"""HTTP server."""

from collections.abc import Callable
import itertools
from typing import Any

import attrs
from twisted.internet import protocol

from filbertlift_core import model
from filbertlift_transport import callers
from filbertlift_transport import http
from filbertlift_transport import listening
from filbertlift_transport import memory as memories
from filbertlift_transport import reply as replies

Header = http.Header
Limits = http.Limits
Request = http.Request
Reply = replies.Reply
Handler = Callable[[http.Request, replies.Reply], None]
SWEEP_INTERVAL_S = 1.0
MAX_LINGERING = http.MAX_LINGERING
# Connections that are asked to give way to a new one; the kernel may hold a
# request for each of them.
MAX_ASKED = 16


@attrs.frozen
class ConnectionCounts:
    """Numbers of open connections by their state.

    Attributes:
        total: all open connections.
        receiving: those with a request that has not arrived as a whole.
        answering: those with a request that is not answered yet.
        unsent: those with bytes that the socket has not accepted.
    """

    total: int
    receiving: int
    answering: int
    unsent: int


class HttpServer:
    """Accepts connections and passes requests to a handler.

    Attributes:
        limits: limits on sizes, counts and times.
        memory: budget of the bodies of requests; None without a limit.
        heads: budget of the other objects of requests.
        answers: budget of the answers that callers do not read.
        is_stopping: whether connections close after the current response.
        lingering: number of connections that wait for their callers to close.
        displaced: number of connections that gave way to new ones.
        refused: number of connections that were refused over the limit.
    """

    def __init__(
        self,
        reactor: Any,
        handle: Handler,
        limits: Limits,
        memory: memories.MemoryBudget | None = None,
        heads: memories.ChargeBudget | None = None,
        answers: memories.ChargeBudget | None = None,
    ) -> None:
        self.memory = memory
        self.heads = heads or memories.ChargeBudget.from_limit(
            memories.DEFAULT_HEAD_BYTES
        )
        self.answers = answers or memories.ChargeBudget(
            memories.DEFAULT_ANSWER_BYTES, 0
        )
        self.reactor = reactor
        self.handle = handle
        self.limits = limits
        self.is_stopping = False
        self.lingering = 0
        self.displaced = 0
        self.refused = 0
        self.read_time: Callable[[], float] = reactor.seconds
        self._connections: set[callers.ServerConnection] = set()
        # Those without a whole request, the longest waiting first.
        self._unused: dict[callers.ServerConnection, None] = {}
        self._factory = protocol.Factory.forProtocol(
            lambda: callers.ServerConnection(self)
        )
        self._factory.noisy = False
        self._port: Any = None
        self._sweep_timer = reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    @classmethod
    def listen(
        cls,
        reactor: Any,
        address: model.Address,
        handle: Handler,
        limits: Limits = Limits(),
        memory: memories.MemoryBudget | None = None,
        heads: memories.ChargeBudget | None = None,
        answers: memories.ChargeBudget | None = None,
    ) -> "HttpServer":
        """Starts a server at an address.

        Raises:
            CannotListenError: if the address is in use.
        """
        server = cls(reactor, handle, limits, memory, heads, answers)
        server.start(address)
        return server

    def start(self, address: model.Address) -> None:
        """Starts listening; raises CannotListenError."""
        self._port = self.reactor.listenTCP(
            address.port, self._factory, backlog=1024, interface=address.host
        )
        if self.limits.receive_bytes:
            # Accepted connections inherit it.
            listening.set_receive_bytes(self._port, self.limits.receive_bytes)

    def build_connection(self) -> callers.ServerConnection:
        """Returns the protocol object of a new connection."""
        return callers.ServerConnection(self)

    @property
    def address(self) -> model.Address:
        """The listening address, with the actual port if 0 was requested."""
        host = self._port.getHost()
        return model.Address(host.host, host.port)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def has_unsent(self) -> bool:
        """Whether any caller has not yet received all of its response."""
        return any(
            connection.output.is_full for connection in self._connections
        )

    def count_connections(self) -> ConnectionCounts:
        """Returns the numbers of connections by their state."""
        connections = self._connections
        return ConnectionCounts(
            len(connections),
            sum(connection.is_receiving for connection in connections),
            sum(connection.is_answering for connection in connections),
            sum(connection.output.is_full for connection in connections),
        )

    def stop_accepting(self) -> Any:
        """Stops listening and closes connections as they become idle.

        Returns a Deferred that fires when the port is closed.
        """
        self.is_stopping = True
        for connection in list(self._connections):
            connection.stop_when_idle()
        return self._stop_listening()

    def refuse_partial(self) -> None:
        """Refuses requests that have arrived in part."""
        for connection in list(self._connections):
            connection.refuse_partial()

    @property
    def may_linger(self) -> bool:
        """Whether one more connection may wait for its caller to close."""
        return self.is_stopping or self.lingering < self.limits.lingering

    @property
    def is_settled(self) -> bool:
        """Whether no connection has a request or unsent bytes."""
        return all(connection.is_settled for connection in self._connections)

    def close(self) -> None:
        """Closes every connection at once."""
        self.is_stopping = True
        if self._sweep_timer.active():
            self._sweep_timer.cancel()
        self._stop_listening()
        for connection in list(self._connections):
            connection.end()

    def add(self, connection: callers.ServerConnection) -> bool:
        """Adds a new connection; returns whether there is room for it."""
        self._connections.add(connection)
        if self.in_use > self.limits.connections and not self._make_room():
            self.refused += 1
            return False
        self.note_unused(connection)
        return True

    @property
    def in_use(self) -> int:
        """Number of connections that callers use."""
        return len(self._connections) - self.lingering

    def get_limits(self) -> http.Limits:
        """Returns the limits for requests that begin now."""
        return self.limits

    def note_used(self, connection: callers.ServerConnection) -> None:
        """Records that a connection has a whole request, or is closed."""
        self._unused.pop(connection, None)

    def note_unused(self, connection: callers.ServerConnection) -> None:
        """Records that a connection waits for a whole request."""
        self._unused[connection] = None

    def remove(self, connection: callers.ServerConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
        self.note_used(connection)

    def _make_room(self) -> bool:
        """Closes the connection that waits longest without a whole request."""
        for connection in itertools.islice(self._unused, MAX_ASKED):
            if connection.give_way():
                self.displaced += 1
                return True
        return False

    def _stop_listening(self) -> Any:
        """Closes the port after accepting what waits in the kernel's queue.

        The kernel resets connections that wait there when the port is closed.
        """
        port, self._port = self._port, None
        if port is None:
            return None
        self.reactor.callLater(0, listening.accept_waiting, port)
        return port.stopListening()

    def _sweep(self) -> None:
        self._sweep_timer = self.reactor.callLater(
            SWEEP_INTERVAL_S, self._sweep
        )
        now = self.read_time()
        for connection in list(self._connections):
            connection.check_timeouts(now)
        self._evict_stalled()

    def _evict_stalled(self) -> None:
        """Ends incomplete bodies that keep others waiting for memory."""
        if self.memory is None:
            return
        stalled = []
        for connection in self._unused:
            size = connection.check_progress()
            if size:
                stalled.append((size, connection.evict))
        if self.memory.waiting and stalled:
            self.memory.evict(stalled)
