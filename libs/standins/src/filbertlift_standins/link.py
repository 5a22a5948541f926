"""Stand-in for the network between two regions.

Clients in the near and in the far region connect to different addresses and
use HTTP CONNECT. Fixed forwards serve clients in the far region that cannot
use a proxy. All connections share one lane for each direction.
"""

from collections import Counter
from typing import Any

import attrs
from twisted.internet import reactor as default_reactor
import typer

from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import model
from filbertlift_standins import lanes
from filbertlift_standins import tunnels
from filbertlift_standins import web


@attrs.define
class Faults:
    """Faults of the link; all can be changed at run time.

    Outward is from the near to the far region; inward is the reverse.

    Attributes:
        delay_out_s: delay outward, seconds.
        delay_in_s: delay inward, seconds.
        rate_out_bps: bits a second outward; 0 for no limit.
        rate_in_bps: bits a second inward; 0 for no limit.
        part: whether connections are reset and new ones are refused.
        silence: set to `both`, `out` or `in` to silence that direction of all
            existing connections permanently; new connections work.
    """

    delay_out_s: float = 0.0
    delay_in_s: float = 0.0
    rate_out_bps: float = 0.0
    rate_in_bps: float = 0.0
    part: bool = False
    silence: str = ""


class Link:
    """The two lanes of the link and its connections."""

    def __init__(self, reactor: Any, faults: Faults) -> None:
        self.clock = reactor
        self.faults = faults
        self.counters: Counter[str] = Counter()
        self.destinations: Counter[str] = Counter()
        self.client_connections: set[tunnels.ClientConnection] = set()
        self.outward = lanes.Lane(
            reactor,
            lambda: faults.delay_out_s,
            lambda: faults.rate_out_bps,
        )
        self.inward = lanes.Lane(
            reactor, lambda: faults.delay_in_s, lambda: faults.rate_in_bps
        )

    @property
    def partitioned(self) -> bool:
        """Whether the link refuses connections."""
        return self.faults.part

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
        """Serves the pages for faults and counters."""
        path = exchange.request.path
        if path == "/-/faults":
            web.handle_faults(exchange, self.faults, self.apply_faults)
        elif path == "/-/counters":
            exchange.respond_json(self.count())
        else:
            exchange.respond(404)

    def count(self) -> dict[str, Any]:
        """Returns the bytes by direction and destination, and the counters."""
        return {
            "bytes_out": self.outward.sent_bytes,
            "bytes_in": self.inward.sent_bytes,
            "destinations": dict(self.destinations),
            "open": len(self.client_connections),
        } | dict(self.counters)

    def apply_faults(self) -> None:
        """Resets or silences the existing connections."""
        direction, self.faults.silence = self.faults.silence, ""
        for connection in list(self.client_connections):
            if self.faults.part:
                connection.abort()
            elif direction:
                connection.silence(direction)


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
            factory = tunnels.TunnelFactory(link, outward)
            web.listen(reactor, model.Address.parse(text), factory)
        for text in forward:
            port, _, target = text.partition("=")
            model.Address.parse(target)
            address = model.Address("127.0.0.1", int(port))
            web.listen(
                reactor, address, tunnels.TunnelFactory(link, False, target)
            )
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
