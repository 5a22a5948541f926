"""Tests of links over in-memory transports."""

from typing import Any

import attrs
import pytest
from twisted.internet import error as errors
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from filbertlift_core import env
from filbertlift_core import model
from filbertlift_transport import exceptions
from filbertlift_transport import greeting
from filbertlift_transport import link
from filbertlift_wire import frames
from filbertlift_wire import messages

ADDRESS = model.Address("127.0.0.1", 7_000)


def make_identity(**changes: Any) -> link.LinkIdentity:
    member = model.Member(
        address=ADDRESS,
        place=model.Place("north", "a"),
        service="archive",
        target=ADDRESS,
        incarnation=5,
        state=model.MemberState.ALIVE,
        status=ADDRESS,
    )
    identity = link.LinkIdentity(
        cluster="stage",
        secrets=(b"secret",),
        make_member=lambda: member,
        make_heartbeat=lambda _link: messages.Heartbeat(
            17, "root", -1, 0, 1, 0, 0
        ),
        current_version=lambda: 17,
    )
    return attrs.evolve(identity, **changes)


class Side:
    """One end of a link, with its transport and recorded events."""

    def __init__(
        self, clock: task.Clock, is_opener: bool, **changes: Any
    ) -> None:
        self.up_count = 0
        self.down_errors: list[exceptions.LinkError] = []
        self.received: list[messages.Message] = []
        events = link.LinkEvents(
            on_up=self._record_up,
            on_message=lambda _, message: self.received.append(message),
            on_down=lambda _, error: self.down_errors.append(error),
        )
        proxy = changes.pop("proxy", None)
        self.link = link.Link(
            clock,
            make_identity(**changes),
            events,
            ADDRESS if is_opener else None,
            proxy,
        )
        self.transport = testing.StringTransport()

    def _record_up(self, _: link.Link) -> None:
        self.up_count += 1

    def take_sent(self) -> bytes:
        data = self.transport.value()
        self.transport.clear()
        return data

    @property
    def reasons(self) -> list[str]:
        return [error.reason for error in self.down_errors]


def exchange(left: Side, right: Side, clock: task.Clock) -> None:
    """Transfers bytes in both directions until neither side has more."""
    clock.advance(0)
    while (outgoing := left.take_sent()) or right.transport.value():
        if outgoing and not right.down_errors:
            right.link.dataReceived(outgoing)
        incoming = right.take_sent()
        if incoming and not left.down_errors:
            left.link.dataReceived(incoming)
        clock.advance(0)


def make_pair(
    clock: task.Clock, opener: Any = None, acceptor: Any = None
) -> tuple[Side, Side]:
    left = Side(clock, True, **(opener or {}))
    right = Side(clock, False, **(acceptor or {}))
    for side in (left, right):
        side.link.makeConnection(side.transport)
    exchange(left, right, clock)
    return left, right


def test_links_come_up_and_carry_messages() -> None:
    clock = task.Clock()
    left, right = make_pair(clock)
    assert (left.up_count, right.up_count) == (1, 1)
    assert left.link.peer.service == "archive"
    assert left.link.send(messages.Chunk(1, True, False, bytes(9_000)))
    exchange(left, right, clock)
    assert messages.Chunk(1, True, False, bytes(9_000)) in right.received
    assert left.link.counters.sent_calls == right.link.counters.received_calls
    assert left.link.counters.sent_calls > 9_000


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"cluster": "other"}, "other-cluster"),
        ({"secrets": (b"wrong",)}, "bad-proof"),
    ],
)
def test_other_cluster_or_secret_is_refused(changes: dict, reason: str) -> None:
    """Guards against a link to another cluster, from either side."""
    for pair in (
        make_pair(task.Clock(), opener=changes),
        make_pair(task.Clock(), acceptor=changes),
    ):
        assert [side.up_count for side in pair] == [0, 0]
        assert pair[0].reasons == [reason]


@pytest.mark.parametrize("version", [-1, 2])
def test_wire_versions_are_checked(version: int) -> None:
    """Guards against a peer that is more than one version away."""
    hello = make_hello(wire_version=env.WIRE_VERSION + version)
    right = Side(task.Clock(), False)
    right.link.makeConnection(right.transport)
    right.link.dataReceived(frames.encode_message(hello))
    assert right.reasons == (["wire-version"] if version == 2 else [])


def make_hello(**changes: Any) -> messages.Hello:
    identity = make_identity()
    hello = messages.Hello(
        identity.cluster,
        env.WIRE_VERSION,
        identity.make_member(),
        17,
        b"",
        bytes(greeting.NONCE_BYTES),
    )
    return attrs.evolve(hello, **changes)


def test_messages_before_the_greeting_are_refused() -> None:
    """Guards against calls from a peer that skips the greeting."""
    right = Side(task.Clock(), False)
    right.link.makeConnection(right.transport)
    right.link.dataReceived(frames.encode_message(messages.Fetch(1)))
    assert right.reasons == ["malformed"]
    assert right.received == []


def test_a_proof_is_not_valid_for_the_other_role() -> None:
    """Guards against a peer that returns a node's own proof to that node."""
    right = Side(task.Clock(), False)
    right.link.makeConnection(right.transport)
    right.link.dataReceived(frames.encode_message(make_hello()))
    (welcome,) = frames.FrameReader().feed(right.take_sent())
    assert isinstance(welcome, messages.Welcome)
    reflected = make_hello(proof=welcome.proof, nonce=welcome.nonce)
    right.link.dataReceived(frames.encode_message(reflected))
    assert right.reasons == ["bad-proof"]


def test_both_secrets_are_accepted_during_rotation() -> None:
    left, right = make_pair(
        task.Clock(),
        {"secrets": (b"new", b"old")},
        {"secrets": (b"old", b"new")},
    )
    assert (left.up_count, right.up_count) == (1, 1)


def test_a_silent_link_is_dropped_after_three_seconds() -> None:
    """Guards against a connection that stays open but delivers no data."""
    clock = task.Clock()
    left, _ = make_pair(clock)
    clock.pump([0.5] * 5 + [0.49])
    assert left.down_errors == []
    clock.advance(0.02)
    assert left.reasons == ["silent"]
    assert not left.link.send(messages.Fetch(1))


def test_heartbeats_keep_a_link_up() -> None:
    clock = task.Clock()
    left, right = make_pair(clock)
    for _ in range(40):
        clock.advance(0.25)
        exchange(left, right, clock)
    assert left.down_errors == right.down_errors == []


def test_link_without_an_answer_to_its_greeting_is_dropped() -> None:
    clock = task.Clock()
    left = Side(clock, True)
    left.link.makeConnection(left.transport)
    clock.pump([1.0] * 3)
    assert left.reasons == ["silent"]


def test_exception_in_a_handler_keeps_the_link_up() -> None:
    """Guards against an error on one message that ends all calls of a link."""
    clock = task.Clock()
    left, right = make_pair(clock)
    right.received = None  # type: ignore[assignment]
    left.link.send(messages.Fetch(1))
    exchange(left, right, clock)
    right.received = []
    left.link.send(messages.Fetch(2))
    exchange(left, right, clock)
    assert right.received == [messages.Fetch(2)]
    assert right.down_errors == []


def test_closing_calls_on_down_once() -> None:
    """Guards against calls of a link that are settled twice."""
    left, _ = make_pair(task.Clock())
    left.link.close("idle")
    left.link.connectionLost()
    assert left.reasons == ["closed"]
    assert left.transport.disconnecting


def test_a_peer_that_does_not_read_is_dropped() -> None:
    """Guards against unbounded memory use while the socket is full."""
    left, _ = make_pair(task.Clock())
    # Nothing is written until the current reactor iteration ends.
    chunk = messages.Chunk(1, False, False, bytes(frames.MAX_BODY_BYTES))
    sent = 0
    while left.link.send(chunk):
        sent += len(chunk.body)
    assert left.reasons == ["overflow"]
    assert sent <= link.MAX_UNSENT_BYTES


@pytest.mark.parametrize(
    ("answer", "reasons"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", []),
        (b"HTTP/1.1 403 Forbidden\r\n\r\n", ["proxy-refused"]),
        (b"x" * 9_000, ["proxy-refused"]),
    ],
)
def test_a_tunnel_is_requested_from_the_proxy(
    answer: bytes, reasons: list[str]
) -> None:
    clock = task.Clock()
    left = Side(clock, True, proxy=model.Address("127.0.0.1", 8_080))
    left.link.makeConnection(left.transport)
    assert left.take_sent().startswith(b"CONNECT 127.0.0.1:7000 HTTP/1.1\r\n")
    for index in range(len(answer)):
        if not left.down_errors:
            left.link.dataReceived(answer[index : index + 1])
    clock.advance(0)
    assert left.reasons == reasons
    assert bool(left.transport.value()) == (not reasons)


def test_a_refused_connection_is_reported() -> None:
    reactor = testing.MemoryReactorClock()
    down_errors: list[exceptions.LinkError] = []
    events = link.LinkEvents(
        lambda _: None,
        lambda _, message: None,
        lambda _, error: down_errors.append(error),
    )
    link.open_link(reactor, ADDRESS, make_identity(), events)
    host, port, factory, timeout, _ = reactor.tcpClients[0]
    assert (host, port, timeout) == ("127.0.0.1", 7_000, 1.0)
    factory.clientConnectionFailed(
        None, failure.Failure(errors.ConnectionRefusedError())
    )
    assert [error.reason for error in down_errors] == ["connect-failed"]
