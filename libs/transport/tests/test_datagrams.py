"""Tests of the datagram port."""

from filbertlift_core import model
from filbertlift_transport import datagrams
from filbertlift_wire import messages

LOCAL = model.Address("127.0.0.1", 7_000)
REMOTE = model.Address("127.0.0.2", 7_001)


class FakeTransport:
    """Records the packets written to it."""

    def __init__(self) -> None:
        self.packets: list[tuple[bytes, tuple[str, int]]] = []

    def write(self, packet: bytes, target: tuple[str, int]) -> None:
        if target[1] == 1:
            raise OSError("unreachable")
        self.packets.append((packet, target))


def make_port(deliveries: list) -> datagrams.DatagramPort:
    port = datagrams.DatagramPort(
        (b"secret",),
        lambda message, sender: deliveries.append((message, sender)),
    )
    port.transport = FakeTransport()
    return port


def test_packets_are_sent_received_and_counted() -> None:
    deliveries: list = []
    port = make_port(deliveries)
    ping = messages.Ping(1, LOCAL, 17, -1)
    port.send(ping, REMOTE)
    port.send(ping, model.Address("127.0.0.1", 1))
    ((packet, target),) = port.transport.packets
    assert target == ("127.0.0.2", 7_001)
    port.datagramReceived(packet, ("127.0.0.1", 7_000))
    port.datagramReceived(packet[:-1], ("127.0.0.1", 7_000))
    port.datagramReceived(b"", ("127.0.0.1", 7_000))
    assert deliveries == [(ping, LOCAL)]
    counters = port.counters
    assert (counters.sent, counters.received, counters.dropped) == (1, 3, 3)
    assert counters.sent_bytes == len(packet)
