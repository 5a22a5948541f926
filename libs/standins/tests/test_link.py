"""Tests of the link stand-in."""

from typing import Any

import pytest
from twisted.internet import testing

from filbertlift_standins import link
from filbertlift_standins import tunnels


class FakeTransport(testing.StringTransport):
    aborted = False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Accepts the option."""

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


class Tunnel:
    """A connection from a client through the link to a destination."""

    def __init__(self, state: link.Link, reactor: Any, outward: bool) -> None:
        self.near, self.far = FakeTransport(), FakeTransport()
        client = tunnels.TunnelFactory(state, outward).buildProtocol(None)
        self.client = client
        client.makeConnection(self.near)
        client.dataReceived(b"CONNECT 127.0.0.1:9 HTTP/1.1\r\n\r\nearly")
        reactor.advance(state.faults.delay_out_s)
        self.destination = reactor.tcpClients[-1][2].buildProtocol(None)
        self.destination.makeConnection(self.far)


@pytest.fixture
def reactor() -> Any:
    return testing.MemoryReactorClock()


def test_bytes_arrive_in_order_after_rate_and_delay(reactor: Any) -> None:
    """Guards against a link without the limits of the real, paid link."""
    state = link.Link(reactor, link.Faults(0.5, 0.5, 8000, 0))
    tunnel = Tunnel(state, reactor, True)
    tunnel.client.dataReceived(b"x" * 995)
    reactor.advance(1.4)
    assert tunnel.far.value() == b"early"
    reactor.advance(0.2)
    assert tunnel.far.value() == b"early" + b"x" * 995
    assert tunnel.near.value() == tunnels.TUNNEL_OPEN
    assert state.count()["bytes_out"] == 1000


def test_silence_affects_only_existing_connections(reactor: Any) -> None:
    """Guards against a fault that persists after a reconnect."""
    state = link.Link(reactor, link.Faults())
    old = Tunnel(state, reactor, True)
    reactor.advance(1)
    state.faults.silence = "in"
    state.apply_faults()
    new = Tunnel(state, reactor, True)
    reactor.advance(1)
    old.near.clear()
    for tunnel in (old, new):
        tunnel.destination.dataReceived(b"back")
        tunnel.client.dataReceived(b"forth")
    reactor.advance(1)
    assert old.near.value() == b""
    assert old.far.value() == b"earlyforth"
    assert new.near.value().endswith(b"back")


def test_part_resets_and_refuses(reactor: Any) -> None:
    """Guards against connections that survive or start during a partition."""
    state = link.Link(reactor, link.Faults())
    old = Tunnel(state, reactor, False)
    state.faults.part = True
    state.apply_faults()
    assert old.near.aborted
    assert old.far.aborted
    new = FakeTransport()
    tunnels.TunnelFactory(state, True).buildProtocol(None).makeConnection(new)
    assert new.aborted


def test_reading_stops_while_the_window_is_full(reactor: Any) -> None:
    """Guards against memory use that grows with a fast sender."""
    state = link.Link(reactor, link.Faults(1, 1, 0, 0))
    tunnel = Tunnel(state, reactor, True)
    tunnel.client.dataReceived(b"x" * 200_000)
    assert tunnel.near.producerState == "paused"
    reactor.advance(2)
    assert tunnel.near.producerState == "producing"
