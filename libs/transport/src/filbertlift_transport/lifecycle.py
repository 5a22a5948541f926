"""State machine of a link: connecting, greeting, up, closed."""

from collections.abc import Callable
from typing import Protocol

import attrs
import automat

from filbertlift_transport import exceptions


@attrs.frozen
class LinkActions:
    """Actions of a link when its state changes."""

    greet: Callable[[], None]
    announce_up: Callable[[], None]
    shut_down: Callable[[exceptions.LinkError], None]


class LinkInputs(Protocol):
    """Inputs of the state machine."""

    def connect(self) -> None:
        """The connection is established."""

    def accept(self) -> None:
        """Both sides have proved that they know the secret."""

    def fail(self, error: exceptions.LinkError) -> None:
        """The link was closed, lost or refused."""


def _build_machine() -> Callable[[LinkActions], LinkInputs]:
    builder = automat.TypeMachineBuilder(LinkInputs, LinkActions)
    connecting = builder.state("connecting")
    greeting = builder.state("greeting")
    up = builder.state("up")
    closed = builder.state("closed")

    @connecting.upon(LinkInputs.connect).to(greeting)
    def greet(_inputs: LinkInputs, actions: LinkActions) -> None:
        actions.greet()

    @greeting.upon(LinkInputs.accept).to(up)
    def announce_up(_inputs: LinkInputs, actions: LinkActions) -> None:
        actions.announce_up()

    for state in (connecting, greeting, up):

        @state.upon(LinkInputs.fail).to(closed)
        def shut_down(
            _inputs: LinkInputs,
            actions: LinkActions,
            error: exceptions.LinkError,
        ) -> None:
            actions.shut_down(error)

    closed.upon(LinkInputs.fail).loop().returns(None)
    closed.upon(LinkInputs.connect).loop().returns(None)
    closed.upon(LinkInputs.accept).loop().returns(None)
    return builder.build()


make_lifecycle = _build_machine()
