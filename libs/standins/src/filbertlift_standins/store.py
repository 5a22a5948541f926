"""In-memory stand-in for the key-value service of the platform."""

import random
from typing import Any

from twisted.internet import reactor as default_reactor
import typer

from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import model
from filbertlift_standins import store_state
from filbertlift_standins import web


class Listener:
    """The port of the store, closed while an outage refuses connections."""

    def __init__(self, reactor: Any, address: Any, server: web.Server) -> None:
        self._reactor = reactor
        self._address = address
        self._server = server
        self._port: Any = None

    def set_refusing(self, refusing: bool) -> None:
        """Closes the port and all connections, or reopens the port."""
        if refusing and self._port is not None:
            self._port.stopListening()
            self._port = None
            self._server.abort_connections()
        if not refusing and self._port is None:
            self._port = web.listen(self._reactor, self._address, self._server)


def main(
    listen: str = typer.Option(..., help="IP:PORT of the store."),
    control: str = typer.Option(
        "", help="IP:PORT of /-/ pages that stay open during an outage."
    ),
    seed: int = typer.Option(1, help="Seed of the lost answers."),
    delay_s: float = typer.Option(0.0, help="Delay of each call, seconds."),
    lost_next: int = typer.Option(0, help="Writes that get no answer."),
    lost_share: float = typer.Option(0.0, help="Share of lost answers."),
) -> None:
    """Runs the store stand-in until it is stopped."""
    faults = store_state.Faults(
        delay_s=delay_s, lost_next=lost_next, lost_share=lost_share
    )
    reactor: Any = default_reactor
    store = store_state.Store(reactor, random.Random(seed), faults)
    try:
        listener = Listener(
            reactor, model.Address.parse(listen), web.Server(store.handle)
        )
        listener.set_refusing(False)
        if control:
            server = web.Server(store.handle_control)
            web.listen(reactor, model.Address.parse(control), server)
    except exceptions.ModelError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(env.EXIT_USAGE) from error
    store.on_outage = listener.set_refusing
    reactor.run()


def run() -> None:
    """Entry point of `filbertlift-store-standin`."""
    typer.run(main)


if __name__ == "__main__":
    run()
