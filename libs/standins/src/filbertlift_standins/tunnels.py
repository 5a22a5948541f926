"""Connections through the link stand-in, by HTTP CONNECT or forwarded."""

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
    """What a connection uses of the link."""

    clock: Any
    counters: Counter[str]
    destinations: Counter[str]
    entrances: "set[Entrance]"
    outward: lanes.Lane
    inward: lanes.Lane

    @property
    def parted(self) -> bool:
        """Whether connections are refused."""

    def connect(
        self, address: model.Address, outward: bool, factory: Any
    ) -> None:
        """Connects to a destination after one delay of the link."""


class End(protocol.Protocol):
    """The half of a connection on the side of its destination."""

    transport: Any

    def __init__(self, entrance: "Entrance") -> None:
        self._entrance = entrance

    def connectionMade(self) -> None:  # noqa: N802
        """Joins the two halves."""
        self.transport.setTcpNoDelay(True)
        self._entrance.join(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Sends on what the destination sent."""
        self._entrance.send_back(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, ARG002
        """Ends the connection on the other side too."""
        self._entrance.send_back(b"")


class EndFactory(protocol.ClientFactory):
    """Makes the half of a connection towards its destination."""

    noisy = False

    def __init__(self, entrance: "Entrance") -> None:
        self._entrance = entrance

    def buildProtocol(self, addr: Any) -> End:  # noqa: N802, ARG002
        """Returns the destination's half."""
        return End(self._entrance)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802, ARG002
        """Resets the caller's half."""
        self._entrance.transport.abortConnection()


class Entrance(protocol.Protocol):
    """The half of a connection on the side of its caller."""

    transport: Any

    def __init__(self, link: LinkState, outward: bool, target: str) -> None:
        self._open = False
        self._link = link
        self._outward = outward
        self._target = target
        self._connect_method = not target
        self._early = b""
        self._forth: lanes.Pipe | None = None
        self._back: lanes.Pipe | None = None
        self._end: End | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Refuses the connection while parted."""
        self.transport.setTcpNoDelay(True)
        if self._link.parted:
            self._link.counters["refused"] += 1
            self.transport.abortConnection()
            return
        self._link.entrances.add(self)
        self._open = True
        if self._target:
            self._connect()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802, ARG002
        """Ends the connection on the other side too."""
        self._open = False
        self._link.entrances.discard(self)
        if self._forth is not None:
            self._forth.send(b"")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Reads the head of the CONNECT request, then sends bytes on."""
        if self._forth is not None:
            self._count(len(data))
            self._forth.send(data)
            return
        self._early += data
        if self._target:
            return
        head, separator, rest = self._early.partition(b"\r\n\r\n")
        if not separator:
            if len(head) > _MAX_HEAD_BYTES:
                self.transport.abortConnection()
            return
        words = head.decode("latin-1").split()
        if len(words) < 2 or words[0] != "CONNECT":
            self.transport.write(b"HTTP/1.1 405 Method Not Allowed\r\n\r\n")
            self.transport.loseConnection()
            return
        self._target, self._early = words[1], rest
        self._connect()

    def join(self, end: End) -> None:
        """Starts both directions once the destination accepted."""
        if not self._open:
            end.transport.abortConnection()
            return
        link = self._link
        forth, back = link.outward, link.inward
        if not self._outward:
            forth, back = back, forth
        self._end = end
        self._forth = lanes.Pipe(
            link.clock, forth, self.transport, end.transport
        )
        self._back = lanes.Pipe(link.clock, back, end.transport, self.transport)
        if self._connect_method:
            self._back.send(TUNNEL_OPEN)
        if self._early:
            self._count(len(self._early))
            self._forth.send(self._early)

    def send_back(self, data: bytes) -> None:
        """Carries bytes of the destination to the caller."""
        if self._back is not None:
            self._count(len(data))
            self._back.send(data)

    def silence(self, direction: str) -> None:
        """Carries nothing more in the direction, `both`, `out` or `in`."""
        forth = "out" if self._outward else "in"
        if self._forth is not None and direction in ("both", forth):
            self._forth.silent = True
        if self._back is not None and direction != forth:
            self._back.silent = True

    def abort(self) -> None:
        """Resets both halves."""
        self.transport.abortConnection()
        if self._end is not None:
            self._end.transport.abortConnection()

    def _connect(self) -> None:
        try:
            address = model.Address.parse(self._target)
        except exceptions.ModelError:
            self.transport.abortConnection()
            return
        self._link.counters["connections"] += 1
        self._link.connect(address, self._outward, EndFactory(self))

    def _count(self, size: int) -> None:
        self._link.destinations[self._target] += size


class EntranceFactory(protocol.Factory):
    """Makes the callers' halves on one side of the link."""

    noisy = False

    def __init__(
        self, link: LinkState, outward: bool, target: str = ""
    ) -> None:
        self._link = link
        self._outward = outward
        self._target = target

    def buildProtocol(self, addr: Any) -> Entrance:  # noqa: N802, ARG002
        """Returns the protocol of a new connection."""
        return Entrance(self._link, self._outward, self._target)
