"""Tests of the datagram port."""

from filbertlift_core import model
from filbertlift_transport import datagrams
from filbertlift_wire import messages

HERE = model.Address("127.0.0.1", 7_000)
THERE = model.Address("127.0.0.2", 7_001)


class FakeTransport:
    """Keeps the packets written to it."""

    def __init__(self) -> None:
        self.packets: list[tuple[bytes, tuple[str, int]]] = []

    def write(self, packet: bytes, target: tuple[str, int]) -> None:
        if target[1] == 1:
            raise OSError("unreachable")
        self.packets.append((packet, target))


def make_port(found: list) -> datagrams.DatagramPort:
    port = datagrams.DatagramPort(
        (b"secret",), lambda message, sender: found.append((message, sender))
    )
    port.transport = FakeTransport()
    return port


def test_packets_are_sent_received_and_dropped() -> None:
    found: list = []
    port = make_port(found)
    ping = messages.Ping(1, HERE, 17, -1)
    port.send(ping, THERE)
    port.send(ping, model.Address("127.0.0.1", 1))
    ((packet, target),) = port.transport.packets
    assert target == ("127.0.0.2", 7_001)
    port.datagramReceived(packet, ("127.0.0.1", 7_000))
    port.datagramReceived(packet[:-1], ("127.0.0.1", 7_000))
    port.datagramReceived(b"", ("127.0.0.1", 7_000))
    assert found == [(ping, HERE)]
    counters = port.counters
    assert (counters.sent, counters.received, counters.dropped) == (1, 3, 3)
    assert counters.sent_bytes == len(packet)
