"""Links between nodes; each carries frames over one TCP connection."""

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
# An established connection can stop delivering data without an error. A link
# that received no byte for this long is dropped, and its calls are settled over
# a new link.
SILENCE_LIMIT_S = 3.0
# Credit limits the unsent bytes of streams, so this is reached only by a peer
# that has stopped reading while control messages are still sent to it.
MAX_UNSENT_BYTES = 8_000_000

# Limits what this node reads from a peer that is not authenticated yet.
MAX_GREETING_BYTES = 4_096

LinkIdentity = greeting.LinkIdentity


@attrs.frozen
class LinkEvents:
    """Callbacks of a link.

    Attributes:
        on_up: called when the peer is authenticated and messages can be sent.
        on_message: called for every message received, including heartbeats,
            except greetings.
        on_down: called once when the link is closed, even if it was never up.
    """

    on_up: Callable[["Link"], None]
    on_message: Callable[["Link", messages.Message], None]
    on_down: Callable[["Link", exceptions.LinkError], None]


@attrs.define
class LinkCounters:
    """Bytes sent and received on a link, for control and for calls."""

    sent_control: int = 0
    sent_calls: int = 0
    received_control: int = 0
    received_calls: int = 0


class Link(protocol.Protocol):
    """One link to a peer.

    Attributes:
        is_up: whether messages can be sent.
        is_opener: whether this node opened the link.
        address: address that this node connects to, None on the accepting side.
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
        self._output: outputs.BatchingOutput
        self._last_received = reactor.seconds()
        self._heartbeat_timer: Any = None
        self._silence_timer: Any = None
        self._state = lifecycle.make_lifecycle(
            lifecycle.LinkActions(
                self._start_greeting, self._announce_up, self._shut_down
            )
        )

    @property
    def peer(self) -> model.Member:
        """The peer as stated in its greeting.

        Raises:
            LinkError: if the link was never up.
        """
        if self._handshake.peer is None:
            raise exceptions.LinkError("closed", "link was never up")
        return self._handshake.peer

    def send(self, message: messages.Message) -> bool:
        """Sends a message; returns whether the link is up and accepted it.

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
        """Closes the link after sending pending data; calls `on_down` now."""
        self._state.fail(exceptions.LinkError("closed", reason))

    def fail_connect(self, message: str) -> None:
        """Reports that no connection could be established."""
        self._state.fail(exceptions.LinkError("connect-failed", message))

    # Twisted's protocol interface.

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the greeting, or first requests a tunnel from the proxy."""
        self._output = outputs.BatchingOutput(
            self._reactor, self.transport, MAX_UNSENT_BYTES
        )
        self._last_received = self._reactor.seconds()
        self._silence_timer = self._reactor.callLater(
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
            received = self._reader.feed(data)
            self.counters.received_control = self._reader.control_bytes
            self.counters.received_calls = self._reader.call_bytes
            for message in received:
                self._receive(message)
        except wire_exceptions.WireError as error:
            self._state.fail(exceptions.LinkError("malformed", str(error)))
        except exceptions.LinkError as error:
            self._state.fail(error)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Marks the link as lost unless it is already closed."""
        self._state.fail(exceptions.LinkError("lost", reason.getErrorMessage()))

    # Actions of the lifecycle.

    def _start_greeting(self) -> None:
        first = self._handshake.start()
        if first is not None:
            self._write(frames.encode_message(first))

    def _announce_up(self) -> None:
        self.is_up = True
        logs.log_event("link.up", peer=self.peer.address)
        self._send_heartbeat()
        self._events.on_up(self)

    def _shut_down(self, error: exceptions.LinkError) -> None:
        self.is_up = False
        for call in (self._heartbeat_timer, self._silence_timer):
            if call is not None and call.active():
                call.cancel()
        peer = self._handshake.peer
        address = peer.address if peer else self.address
        logs.log_event("link.down", peer=address, reason=str(error))
        if self.transport is not None:
            self._disconnect(error)
        self._events.on_down(self, error)

    def _disconnect(self, error: exceptions.LinkError) -> None:
        # A TCP reset would discard the answer that tells a refused peer the
        # reason.
        is_unresponsive = error.reason in ("silent", "overflow", "lost")
        if not is_unresponsive and not self._output.is_full:
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
            self._deliver(message)
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
            self._deliver(message)

    def _deliver(self, message: messages.Message) -> None:
        try:
            self._events.on_message(self, message)
        except Exception as error:
            # An error in handling one message must not end the other calls
            # on the link.
            logs.log_event(
                "link.handler-failed",
                message=type(message).__name__,
                error=repr(error),
            )

    # Timers and writing.

    def _send_heartbeat(self) -> None:
        self._heartbeat_timer = self._reactor.callLater(
            HEARTBEAT_INTERVAL_S, self._send_heartbeat
        )
        self.send(self._identity.make_heartbeat(self))

    def _check_silence(self) -> None:
        silent_s = self._reactor.seconds() - self._last_received
        if silent_s >= SILENCE_LIMIT_S:
            self._state.fail(
                exceptions.LinkError(
                    "silent", f"no data received for {silent_s:.1f} s"
                )
            )
            return
        self._silence_timer = self._reactor.callLater(
            SILENCE_LIMIT_S - silent_s, self._check_silence
        )

    def _write(self, data: bytes) -> None:
        if not self._output.write(data):
            self._state.fail(
                exceptions.LinkError("overflow", "too many unsent bytes")
            )


class LinkListener:
    """Listens for links from other nodes."""

    def __init__(
        self, reactor: Any, identity: LinkIdentity, events: LinkEvents
    ) -> None:
        self._factory = protocol.Factory.forProtocol(
            lambda: Link(reactor, identity, events)
        )
        self._factory.noisy = False
        self._port: Any = None

    def start(self, reactor: Any, address: model.Address) -> None:
        """Starts listening; raises CannotListenError."""
        self._port = reactor.listenTCP(
            address.port, self._factory, backlog=512, interface=address.host
        )

    @property
    def address(self) -> model.Address:
        """The listening address, with the actual port if 0 was requested."""
        host = self._port.getHost()
        return model.Address(host.host, host.port)

    def close(self) -> Any:
        """Stops listening, keeping open links; returns a Deferred."""
        return self._port.stopListening()


def listen_links(
    reactor: Any,
    address: model.Address,
    identity: LinkIdentity,
    events: LinkEvents,
) -> LinkListener:
    """Starts to accept links at an address.

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
