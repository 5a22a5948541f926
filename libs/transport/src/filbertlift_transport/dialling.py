"""Opens one outgoing connection and reports when that fails."""

from typing import Any
from typing import Protocol

from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import model


class Dialled(Protocol):
    """What a connection needs to be dialled."""

    def fail_connect(self, message: str) -> None:
        """No connection could be established."""


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection: Any) -> None:
        self._connection = connection

    def buildProtocol(self, _address: Any) -> Any:  # noqa: N802
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self, _connector: Any, reason: failure.Failure
    ) -> None:
        self._connection.fail_connect(reason.getErrorMessage())


def dial(
    reactor: Any,
    address: model.Address,
    connection: Dialled,
    timeout_s: float,
) -> Any:
    """Opens a connection for a protocol; returns Twisted's connector."""
    return reactor.connectTCP(
        address.host, address.port, _Factory(connection), timeout=timeout_s
    )
