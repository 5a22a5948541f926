"""Links between nodes: frames over one TCP connection."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_transport import dialling
from filbertlift_transport import exceptions
from filbertlift_transport import greeting
from filbertlift_transport import lifecycle
from filbertlift_transport import outputs
from filbertlift_transport import proxies
from filbertlift_wire import exceptions as wire_exceptions
from filbertlift_wire import frames
from filbertlift_wire import messages

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
# Established connections can go silent for good; a link without a byte for
# this long is dropped and its calls are settled over a new one.
SILENCE_LIMIT_S = 3.0
# Streams are limited by credit, so only a peer that stopped reading while
# control messages go on reaches this.
MAX_UNSENT_BYTES = 8_000_000

# Bounds what a peer that is not authenticated makes this node read.
MAX_GREETING_BYTES = 4_096

LinkIdentity = greeting.LinkIdentity


@attrs.frozen
class LinkEvents:
    """Functions that a link calls.

    Attributes:
        on_up: the peer is authenticated; messages can be sent.
        on_message: a message other than greetings and heartbeat arrived;
            heartbeats are passed on as well, after the link noted them.
        on_down: the link is closed; called once, also for a link that never
            came up.
    """

    on_up: Callable[["Link"], None]
    on_message: Callable[["Link", messages.Message], None]
    on_down: Callable[["Link", exceptions.LinkError], None]


@attrs.define
class LinkCounters:
    """Bytes sent and received on a link, by purpose."""

    sent_control: int = 0
    sent_calls: int = 0
    received_control: int = 0
    received_calls: int = 0


class Link(protocol.Protocol):
    """A link to one peer.

    Attributes:
        is_up: whether messages can be sent.
        is_opener: whether this node opened the link.
        address: address that was dialled, or None on the accepting side.
        counters: bytes sent and received.
    """

    transport: Any

    def __init__(
        self,
        reactor: Any,
        identity: LinkIdentity,
        events: LinkEvents,
        address: model.Address | None = None,
        proxy: model.Address | None = None,
    ) -> None:
        self.is_up = False
        self.is_opener = address is not None
        self.address = address
        self.counters = LinkCounters()
        self._reactor = reactor
        self._identity = identity
        self._events = events
        self._tunnel = proxies.Tunnel(address) if proxy and address else None
        self._handshake = greeting.Handshake(identity, self.is_opener)
        self._reader = frames.FrameReader()
        self._reader.max_header_bytes = MAX_GREETING_BYTES
        self._reader.max_body_bytes = 0
        self._output: outputs.JoiningOutput
        self._last_received = reactor.seconds()
        self._heartbeat_call: Any = None
        self._silence_call: Any = None
        self._state = lifecycle.make_lifecycle(
            lifecycle.LinkActions(
                self._greet, self._announce_up, self._shut_down
            )
        )

    @property
    def peer(self) -> model.Member:
        """The peer as it introduced itself.

        Raises:
            LinkError: if the link was never up.
        """
        if self._handshake.peer is None:
            raise exceptions.LinkError("closed", "link was never up")
        return self._handshake.peer

    def send(self, message: messages.Message) -> bool:
        """Sends a message; returns whether the link took it.

        Raises:
            WireError: if the message does not fit the protocol.
        """
        if not self.is_up:
            return False
        data = frames.encode_message(message)
        if frames.is_call_message(message):
            self.counters.sent_calls += len(data)
        else:
            self.counters.sent_control += len(data)
        self._write(data)
        return self.is_up

    def close(self, reason: str = "closed by this node") -> None:
        """Closes the link after what was sent; `on_down` is called now."""
        self._state.fail(exceptions.LinkError("closed", reason))

    def fail_connect(self, message: str) -> None:
        """Reports that no connection could be established."""
        self._state.fail(exceptions.LinkError("connect-failed", message))

    # Twisted's protocol interface.

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the greeting, through the proxy's tunnel if there is one."""
        self._output = outputs.JoiningOutput(
            self._reactor, self.transport, MAX_UNSENT_BYTES
        )
        self._last_received = self._reactor.seconds()
        self._silence_call = self._reactor.callLater(
            SILENCE_LIMIT_S, self._check_silence
        )
        if self._tunnel is not None:
            self._output.write(self._tunnel.make_request())
            return
        self._state.connect()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        self._last_received = self._reactor.seconds()
        try:
            if self._tunnel is not None:
                data = self._receive_tunnel(data)
            found = self._reader.feed(data)
            self.counters.received_control = self._reader.control_bytes
            self.counters.received_calls = self._reader.call_bytes
            for message in found:
                self._receive(message)
        except wire_exceptions.WireError as error:
            self._state.fail(exceptions.LinkError("malformed", str(error)))
        except exceptions.LinkError as error:
            self._state.fail(error)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Takes the link down if it was not closed before."""
        self._state.fail(exceptions.LinkError("lost", reason.getErrorMessage()))

    # Steps of the lifecycle.

    def _greet(self) -> None:
        first = self._handshake.start()
        if first is not None:
            self._write(frames.encode_message(first))

    def _announce_up(self) -> None:
        self.is_up = True
        logs.log_event("link.up", peer=self.peer.address)
        self._beat()
        self._events.on_up(self)

    def _shut_down(self, error: exceptions.LinkError) -> None:
        self.is_up = False
        for call in (self._heartbeat_call, self._silence_call):
            if call is not None and call.active():
                call.cancel()
        peer = self._handshake.peer
        address = peer.address if peer else self.address
        logs.log_event("link.down", peer=address, reason=str(error))
        if self.transport is not None:
            self._disconnect(error)
        self._events.on_down(self, error)

    def _disconnect(self, error: exceptions.LinkError) -> None:
        # A reset would discard the answer that tells a refused peer why.
        is_stuck = error.reason in ("silent", "overflow", "lost")
        if not is_stuck and not self._output.is_full:
            self._output.close()
            return
        self._output.clear()
        self.transport.abortConnection()

    # Greeting.

    def _receive_tunnel(self, data: bytes) -> bytes:
        assert self._tunnel is not None
        rest = self._tunnel.receive(data)
        if rest is None:
            return b""
        self._tunnel = None
        self._state.connect()
        return rest

    def _receive(self, message: messages.Message) -> None:
        if self.is_up:
            self._hand_on(message)
            return
        handshake = self._handshake
        for answer in handshake.receive(message):
            self._write(frames.encode_message(answer))
        handshake.check(message)
        if handshake.peer is not None:
            self._reader.max_header_bytes = frames.MAX_HEADER_BYTES
            self._reader.max_body_bytes = frames.MAX_BODY_BYTES
        if not handshake.is_done:
            return
        self._state.accept()
        if self.is_opener:
            self._hand_on(message)

    def _hand_on(self, message: messages.Message) -> None:
        try:
            self._events.on_message(self, message)
        except Exception as error:
            # A fault in handling one message must not end the other calls
            # on the link.
            logs.log_event(
                "link.handler-failed",
                message=type(message).__name__,
                error=repr(error),
            )

    # Timers and writing.

    def _beat(self) -> None:
        self._heartbeat_call = self._reactor.callLater(
            HEARTBEAT_INTERVAL_S, self._beat
        )
        self.send(self._identity.make_heartbeat(self))

    def _check_silence(self) -> None:
        quiet = self._reactor.seconds() - self._last_received
        if quiet >= SILENCE_LIMIT_S:
            self._state.fail(
                exceptions.LinkError("silent", f"no byte for {quiet:.1f} s")
            )
            return
        self._silence_call = self._reactor.callLater(
            SILENCE_LIMIT_S - quiet, self._check_silence
        )

    def _write(self, data: bytes) -> None:
        if not self._output.write(data):
            self._state.fail(
                exceptions.LinkError("overflow", "peer does not read")
            )


class LinkListener:
    """Accepts links."""

    def __init__(
        self, reactor: Any, identity: LinkIdentity, events: LinkEvents
    ) -> None:
        self._factory = protocol.Factory.forProtocol(
            lambda: Link(reactor, identity, events)
        )
        self._factory.noisy = False
        self._port: Any = None

    def start(self, reactor: Any, address: model.Address) -> None:
        """Listens at the address; raises CannotListenError."""
        self._port = reactor.listenTCP(
            address.port, self._factory, backlog=512, interface=address.host
        )

    @property
    def address(self) -> model.Address:
        """The address listened at, with the real port when 0 was asked."""
        host = self._port.getHost()
        return model.Address(host.host, host.port)

    def close(self) -> Any:
        """Stops accepting; returns a Deferred. Links stay as they are."""
        return self._port.stopListening()


def listen_links(
    reactor: Any,
    address: model.Address,
    identity: LinkIdentity,
    events: LinkEvents,
) -> LinkListener:
    """Accepts links at an address.

    Raises:
        CannotListenError: if the address is in use.
    """
    listener = LinkListener(reactor, identity, events)
    listener.start(reactor, address)
    return listener


def open_link(
    reactor: Any,
    address: model.Address,
    identity: LinkIdentity,
    events: LinkEvents,
    proxy: model.Address | None = None,
) -> Link:
    """Opens a link to an address, through an HTTP CONNECT proxy if given."""
    link = Link(reactor, identity, events, address, proxy)
    dialling.dial(reactor, proxy or address, link, CONNECT_TIMEOUT_S)
    return link
