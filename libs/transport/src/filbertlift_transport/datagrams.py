"""UDP port for datagrams between nodes."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import protocol

from filbertlift_core import model
from filbertlift_wire import datagrams
from filbertlift_wire import exceptions as wire_exceptions
from filbertlift_wire import messages

Receiver = Callable[[messages.Datagram, model.Address], None]


@attrs.define
class DatagramCounters:
    """Packets and bytes that a port sent, received and dropped."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    dropped: int = 0


class DatagramPort(protocol.DatagramProtocol):
    """Sends and receives datagrams; counts and drops malformed ones.

    Attributes:
        counters: packets and bytes sent, received and dropped.
    """

    transport: Any

    noisy = False

    def __init__(self, secrets: tuple[bytes, ...], receive: Receiver) -> None:
        self.counters = DatagramCounters()
        self._secrets = secrets
        self._receive = receive
        self._port: Any = None

    @classmethod
    def listen(
        cls,
        reactor: Any,
        address: model.Address,
        secrets: tuple[bytes, ...],
        receive: Receiver,
    ) -> "DatagramPort":
        """Opens a port at an address.

        Raises:
            CannotListenError: if the address is in use.
        """
        datagram_port = cls(secrets, receive)
        datagram_port.start(reactor, address)
        return datagram_port

    def start(self, reactor: Any, address: model.Address) -> None:
        """Binds the port to an address; raises CannotListenError."""
        self._port = reactor.listenUDP(
            address.port, self, interface=address.host, maxPacketSize=2_048
        )

    def send(self, message: messages.Datagram, target: model.Address) -> None:
        """Sends one packet, without guarantee of delivery."""
        if self.transport is None:
            return
        packet = datagrams.encode_datagram(message, self._secrets[0])
        try:
            self.transport.write(packet, (target.host, target.port))
        except OSError:
            self.counters.dropped += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(packet)

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Passes a well-formed packet to the receiver."""
        self.counters.received += 1
        self.counters.received_bytes += len(datagram)
        try:
            message = datagrams.decode_datagram(datagram, self._secrets)
        except wire_exceptions.WireError:
            self.counters.dropped += 1
            return
        self._receive(message, model.Address(addr[0], addr[1]))

    def close(self) -> Any:
        """Closes the port; returns a Deferred."""
        port, self._port = self._port, None
        return port.stopListening() if port is not None else None
