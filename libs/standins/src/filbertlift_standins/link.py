"""Stand-in for the network between two regions.

Connections from the near region enter at one address and connections from
the far region at another, both by HTTP CONNECT; fixed forwards serve clients
in the far region that know no proxy. All share one lane for each direction.
"""

from collections import Counter
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
import typer

from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import model
from filbertlift_standins import web

# A connection reads no more while this much of it is under way.
_WINDOW_BYTES = 131_072
_MAX_HEAD_BYTES = 4096
_TUNNEL_OPEN = b"HTTP/1.1 200 Connection established\r\n\r\n"


@attrs.define
class Faults:
    """Faults of the link; all can be changed at run time.

    Outward is from the near to the far region, inward the reverse.

    Attributes:
        delay_out_s: delay outward, seconds.
        delay_in_s: delay inward, seconds.
        rate_out_bps: bits a second outward; 0 for no limit.
        rate_in_bps: bits a second inward; 0 for no limit.
        part: whether connections are reset and new ones refused.
        silence: set to `both`, `out` or `in` to let the connections that
            exist carry nothing for good in that direction.
    """

    delay_out_s: float = 0.0
    delay_in_s: float = 0.0
    rate_out_bps: float = 0.0
    rate_in_bps: float = 0.0
    part: bool = False
    silence: str = ""


class Lane:
    """One direction of the link: a delay after a shared rate limit."""

    def __init__(
        self,
        clock: Any,
        get_delay_s: Callable[[], float],
        get_rate_bps: Callable[[], float],
    ) -> None:
        self.sent_bytes = 0
        self._clock = clock
        self._get_delay_s = get_delay_s
        self._get_rate_bps = get_rate_bps
        self._free_at = 0.0

    def find_delivery(self, size: int) -> float:
        """Returns when bytes that are sent now arrive."""
        self.sent_bytes += size
        rate = self._get_rate_bps()
        sending_s = size * 8 / rate if rate > 0 else 0.0
        self._free_at = max(self._clock.seconds(), self._free_at) + sending_s
        return self._free_at + self._get_delay_s()


class Pipe:
    """Carries the bytes of one connection in one direction, in order."""

    def __init__(self, clock: Any, lane: Lane, source: Any, sink: Any) -> None:
        self.silent = False
        self._clock = clock
        self._lane = lane
        self._source = source
        self._sink = sink
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queued_bytes = 0
        self._last_at = 0.0

    def send(self, data: bytes) -> None:
        """Takes bytes that arrived; empty bytes end the connection."""
        if self.silent:
            return
        due = max(self._last_at, self._lane.find_delivery(len(data)))
        self._last_at = due
        self._queue.append((due, data))
        self._queued_bytes += len(data)
        if self._queued_bytes > _WINDOW_BYTES:
            self._source.pauseProducing()
        if len(self._queue) == 1:
            self._schedule()

    def _schedule(self) -> None:
        wait_s = max(0.0, self._queue[0][0] - self._clock.seconds())
        self._clock.callLater(wait_s, self._deliver)

    def _deliver(self) -> None:
        _, data = self._queue.popleft()
        if self._queue:
            self._schedule()
        if self.silent:
            return
        before = self._queued_bytes
        self._queued_bytes -= len(data)
        if before > _WINDOW_BYTES >= self._queued_bytes:
            self._source.resumeProducing()
        if data:
            self._sink.write(data)
        else:
            self._sink.loseConnection()


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

    def __init__(self, link: "Link", outward: bool, target: str) -> None:
        self._open = False
        self._link = link
        self._outward = outward
        self._target = target
        self._connect_method = not target
        self._early = b""
        self._forth: Pipe | None = None
        self._back: Pipe | None = None
        self._end: End | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Refuses the connection while parted."""
        self.transport.setTcpNoDelay(True)
        if self._link.faults.part:
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
        self._forth = Pipe(link.clock, forth, self.transport, end.transport)
        self._back = Pipe(link.clock, back, end.transport, self.transport)
        if self._connect_method:
            self._back.send(_TUNNEL_OPEN)
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

    def __init__(self, link: "Link", outward: bool, target: str = "") -> None:
        self._link = link
        self._outward = outward
        self._target = target

    def buildProtocol(self, addr: Any) -> Entrance:  # noqa: N802, ARG002
        """Returns the protocol of a new connection."""
        return Entrance(self._link, self._outward, self._target)


class Link:
    """The two lanes and the connections that use them."""

    def __init__(self, reactor: Any, faults: Faults) -> None:
        self.clock = reactor
        self.faults = faults
        self.counters: Counter[str] = Counter()
        self.destinations: Counter[str] = Counter()
        self.entrances: set[Entrance] = set()
        self.outward = Lane(
            reactor,
            lambda: faults.delay_out_s,
            lambda: faults.rate_out_bps,
        )
        self.inward = Lane(
            reactor, lambda: faults.delay_in_s, lambda: faults.rate_in_bps
        )

    def connect(
        self, address: model.Address, outward: bool, factory: Any
    ) -> None:
        """Connects to a destination after one delay of the link."""
        faults = self.faults
        delay_s = faults.delay_out_s if outward else faults.delay_in_s
        self.clock.callLater(
            delay_s,
            self.clock.connectTCP,
            address.host,
            address.port,
            factory,
            timeout=5,
        )

    def handle(self, exchange: web.Exchange) -> None:
        """Answers the pages for faults and counters."""
        path = exchange.request.path
        if path == "/-/faults":
            web.answer_faults(exchange, self.faults, self.apply_faults)
        elif path == "/-/counters":
            exchange.respond_json(self.count())
        else:
            exchange.respond(404)

    def count(self) -> dict[str, Any]:
        """Returns bytes carried in all, each way and by destination."""
        return {
            "bytes_out": self.outward.sent_bytes,
            "bytes_in": self.inward.sent_bytes,
            "destinations": dict(self.destinations),
            "open": len(self.entrances),
        } | dict(self.counters)

    def apply_faults(self) -> None:
        """Resets or silences the connections that exist."""
        direction, self.faults.silence = self.faults.silence, ""
        for entrance in list(self.entrances):
            if self.faults.part:
                entrance.abort()
            elif direction:
                entrance.silence(direction)


def main(
    near: str = typer.Option(..., help="IP:PORT for the near region."),
    far: str = typer.Option(..., help="IP:PORT for the far region."),
    control: str = typer.Option(..., help="IP:PORT of the /-/ pages."),
    forward: list[str] = typer.Option(
        [], help="PORT=HOST:PORT, from the far to the near region."
    ),
    delay_ms: float = typer.Option(20.0, help="Delay each way."),
    rate_mbps: float = typer.Option(30.0, help="Limit each way, 0 for none."),
) -> None:
    """Runs the link stand-in until it is stopped."""
    reactor: Any = default_reactor
    bps = rate_mbps * 1e6
    link = Link(reactor, Faults(delay_ms / 1000, delay_ms / 1000, bps, bps))
    try:
        for text, outward in ((near, True), (far, False)):
            factory = EntranceFactory(link, outward)
            web.listen(reactor, model.Address.parse(text), factory)
        for text in forward:
            port, _, target = text.partition("=")
            model.Address.parse(target)
            address = model.Address("127.0.0.1", int(port))
            web.listen(reactor, address, EntranceFactory(link, False, target))
        server = web.Server(link.handle)
        web.listen(reactor, model.Address.parse(control), server)
    except (ValueError, exceptions.ModelError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(env.EXIT_USAGE) from error
    reactor.run()


def run() -> None:
    """Entry point of `filbertlift-link-standin`."""
    typer.run(main)


if __name__ == "__main__":
    run()
