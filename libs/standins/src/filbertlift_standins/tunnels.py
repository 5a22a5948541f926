"""Connections through the link stand-in, by HTTP CONNECT or forwards."""

from collections import Counter
from typing import Any
from typing import Protocol

from twisted.internet import protocol

from filbertlift_core import exceptions
from filbertlift_core import model
from filbertlift_standins import lanes

_MAX_HEAD_BYTES = 4096
TUNNEL_OPEN = b"HTTP/1.1 200 Connection established\r\n\r\n"


class LinkState(Protocol):
    """The part of the link that its connections use."""

    clock: Any
    counters: Counter[str]
    destinations: Counter[str]
    client_connections: "set[ClientConnection]"
    outward: lanes.Lane
    inward: lanes.Lane

    @property
    def partitioned(self) -> bool:
        """Whether the link refuses connections."""

    def connect(
        self, address: model.Address, outward: bool, factory: Any
    ) -> None:
        """Connects to a destination after one delay of the link."""


class DestinationConnection(protocol.Protocol):
    """The connection from the link to a destination."""

    transport: Any

    def __init__(self, client: "ClientConnection") -> None:
        self._client = client

    def connectionMade(self) -> None:  # noqa: N802
        """Starts to carry bytes between the two connections."""
        self.transport.setTcpNoDelay(True)
        self._client.attach(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forwards received bytes to the client."""
        self._client.send_to_client(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, ARG002
        """Ends the client's connection too."""
        self._client.send_to_client(b"")


class DestinationFactory(protocol.ClientFactory):
    """Makes the connection from the link to a destination."""

    noisy = False

    def __init__(self, client: "ClientConnection") -> None:
        self._client = client

    def buildProtocol(self, addr: Any) -> DestinationConnection:  # noqa: N802, ARG002
        """Returns the protocol of a new connection."""
        return DestinationConnection(self._client)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802, ARG002
        """Resets the client's connection."""
        self._client.transport.abortConnection()


class ClientConnection(protocol.Protocol):
    """The connection from a client to the link.

    Its target is the HOST:PORT of the destination. A fixed forward passes it;
    otherwise it is empty at first and read from the CONNECT request.
    """

    transport: Any

    def __init__(self, link: LinkState, outward: bool, target: str) -> None:
        self._open = False
        self._link = link
        self._outward = outward
        self._target = target
        self._uses_connect = not target
        self._buffered = b""
        self._to_destination: lanes.Pipe | None = None
        self._to_client: lanes.Pipe | None = None
        self._destination: DestinationConnection | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection, or refuses it in a partition."""
        self.transport.setTcpNoDelay(True)
        if self._link.partitioned:
            self._link.counters["refused"] += 1
            self.transport.abortConnection()
            return
        self._link.client_connections.add(self)
        self._open = True
        if self._target:
            self._connect()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, ARG002
        """Ends the connection to the destination too."""
        self._open = False
        self._link.client_connections.discard(self)
        if self._to_destination is not None:
            self._to_destination.send(b"")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads the head of a CONNECT request, then forwards bytes."""
        if self._to_destination is not None:
            self._count(len(data))
            self._to_destination.send(data)
            return
        self._buffered += data
        if self._target:
            return
        head, separator, rest = self._buffered.partition(b"\r\n\r\n")
        if not separator:
            if len(head) > _MAX_HEAD_BYTES:
                self.transport.abortConnection()
            return
        words = head.decode("latin-1").split()
        if len(words) < 2 or words[0] != "CONNECT":
            self.transport.write(b"HTTP/1.1 405 Method Not Allowed\r\n\r\n")
            self.transport.loseConnection()
            return
        self._target, self._buffered = words[1], rest
        self._connect()

    def attach(self, destination: DestinationConnection) -> None:
        """Starts both directions once the destination has accepted."""
        if not self._open:
            destination.transport.abortConnection()
            return
        link = self._link
        forward_lane, return_lane = link.outward, link.inward
        if not self._outward:
            forward_lane, return_lane = return_lane, forward_lane
        self._destination = destination
        self._to_destination = lanes.Pipe(
            link.clock, forward_lane, self.transport, destination.transport
        )
        self._to_client = lanes.Pipe(
            link.clock, return_lane, destination.transport, self.transport
        )
        if self._uses_connect:
            self._to_client.send(TUNNEL_OPEN)
        if self._buffered:
            self._count(len(self._buffered))
            self._to_destination.send(self._buffered)

    def send_to_client(self, data: bytes) -> None:
        """Sends bytes to the client; empty bytes end the connection."""
        if self._to_client is not None:
            self._count(len(data))
            self._to_client.send(data)

    def silence(self, direction: str) -> None:
        """Stops carrying bytes in a direction: `both`, `out` or `in`."""
        request_direction = "out" if self._outward else "in"
        if self._to_destination is not None and direction in (
            "both",
            request_direction,
        ):
            self._to_destination.silent = True
        if self._to_client is not None and direction != request_direction:
            self._to_client.silent = True

    def abort(self) -> None:
        """Resets the connections to the client and the destination."""
        self.transport.abortConnection()
        if self._destination is not None:
            self._destination.transport.abortConnection()

    def _connect(self) -> None:
        try:
            address = model.Address.parse(self._target)
        except exceptions.ModelError:
            self.transport.abortConnection()
            return
        self._link.counters["connections"] += 1
        self._link.connect(address, self._outward, DestinationFactory(self))

    def _count(self, size: int) -> None:
        self._link.destinations[self._target] += size


class TunnelFactory(protocol.Factory):
    """Accepts the connections of clients on one side of the link.

    The target is the HOST:PORT of a fixed forward; empty for HTTP CONNECT.
    """

    noisy = False

    def __init__(
        self, link: LinkState, outward: bool, target: str = ""
    ) -> None:
        self._link = link
        self._outward = outward
        self._target = target

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802, ARG002
        """Returns the protocol of a new connection."""
        return ClientConnection(self._link, self._outward, self._target)
