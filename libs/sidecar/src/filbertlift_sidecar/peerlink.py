"""Links between nodes: many calls over one TCP connection.

An open connection can go silent without an error. So a link on which something
was requested is probed until the peer is heard, and closed if it is not.

Unlike `filbertlift_transport.link`, which the library `node` uses, a link opens
without a handshake and is probed by pings only after requests.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs
from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import model
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames
from filbertlift_sidecar import sockets
from filbertlift_transport import dialling
from filbertlift_transport import listening
from filbertlift_transport import outputs

CONNECT_TIMEOUT_S: Final = 0.5
# Times without received bytes on a link after a request, in seconds: after the
# first the link is probed, after the second its host is avoided for new calls,
# and after the third the link is closed. The longest round trip is
# 40 ms; the rest allows for a busy host and a full link. Closing a link fails
# its calls that are not idempotent.
PROBE_INTERVAL_S: Final = 0.3
SUSPECT_AFTER_S: Final = 0.6
SILENCE_LIMIT_S: Final = 2.0
# Time after which a link without calls is closed, in seconds.
IDLE_LIMIT_S: Final = 20.0
# Limit for the unsent bytes of a link; beyond it the link is closed, since the
# peer does not read.
MAX_UNSENT_BYTES: Final = 96 * 1024 * 1024


@attrs.frozen
class LinkEvents:
    """Callbacks of a link.

    Attributes:
        on_message: called with each message other than pings and pongs.
        on_down: called once, with the reason, when the link is closed.
        on_suspect: called when a link has received nothing for
            `SUSPECT_AFTER_S` since a request.
    """

    on_message: Callable[["PeerLink", frames.Message], None]
    on_down: Callable[["PeerLink", str], None]
    on_suspect: Callable[["PeerLink"], None]


class PeerLink(protocol.Protocol):
    """One connection to a peer.

    Attributes:
        address: address of the peer; None if the peer dialled.
        is_up: whether the connection is open.
        is_closed: whether the link was closed or lost.
        outstanding: number of calls that wait for an answer on this link.
        last_used: when the last call was sent, in seconds.
        has_silence_limit: whether the link is closed after a silence. Without
            that the kernel still closes it if the peer's host is gone.
    """

    transport: Any

    def __init__(
        self, reactor: Any, events: LinkEvents, address: model.Address | None
    ) -> None:
        self.address = address
        self.is_up = False
        self.is_closed = False
        self.outstanding = 0
        self.last_used = reactor.seconds()
        self.has_silence_limit = True
        self._reactor = reactor
        self._events = events
        self._reader = frames.FrameReader()
        self._output: outputs.BatchingOutput | None = None
        self._unsent: list[bytes] = []
        self._heard_at = reactor.seconds()
        # Whether something was requested and nothing was received since.
        self._is_awaiting = False
        self._connector: Any = None
        self._probe_timer: Any = None
        self._probe_due_at = 0.0

    @property
    def is_full(self) -> bool:
        """Whether the connection currently accepts no more bytes."""
        return self._output is not None and self._output.is_full

    @property
    def is_sent(self) -> bool:
        """Whether the peer's kernel has received all sent messages."""
        return self._output is None or self._output.is_sent

    @property
    def is_settled(self) -> bool:
        """Whether nothing written or received is under way in the kernel."""
        is_unread = self._output is not None and self._output.has_received
        return self.is_sent and not is_unread

    def connect(self) -> None:
        """Dials the peer; messages are queued until the link is open."""
        assert self.address is not None
        self._connector = dialling.dial(
            self._reactor, self.address, self, CONNECT_TIMEOUT_S
        )

    def fail_connect(self, message: str) -> None:
        """Closes a link that could not be opened."""
        self.close(f"connect-failed: {message}")

    def send(self, message: frames.Message) -> None:
        """Sends a message; a lost link is reported by `on_down`."""
        self.send_frame(frames.encode_message(message))

    def send_frame(self, data: bytes) -> None:
        """Sends an encoded message."""
        if self.is_closed:
            return
        if self._output is None:
            self._unsent.append(data)
        elif not self._output.write(data):
            self.close("peer does not read")

    def request(self, message: frames.Message) -> None:
        """Sends a message that is not a call and that the peer may answer."""
        self._expect_bytes()
        self.send(message)

    def note_call(self) -> None:
        """Counts a call that waits for an answer."""
        self.last_used = self._reactor.seconds()
        self.outstanding += 1
        self._expect_bytes()

    def note_end(self) -> None:
        """Counts the end of a call.

        If the call was withdrawn and nothing was received since it was sent,
        the link is still probed: it may have gone silent.
        """
        self.outstanding -= 1

    def close(self, reason: str) -> None:
        """Closes the link; messages that the peer has not received are lost."""
        if self.is_closed:
            return
        self._mark_closed()
        if self.transport is not None:
            self.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()
        self._events.on_down(self, reason)

    def end(self, reason: str) -> None:
        """Closes the link; the kernel still sends what it has accepted."""
        if self._output is None:
            self.close(reason)
            return
        if self.is_closed:
            return
        self._mark_closed()
        self._output.end()
        self._events.on_down(self, reason)

    def _mark_closed(self) -> None:
        self.is_closed = True
        self.is_up = False
        if self._probe_timer is not None and self._probe_timer.active():
            self._probe_timer.cancel()

    # Twisted's protocol interface.

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the queued messages."""
        if self.is_closed:
            self.transport.abortConnection()
            return
        sockets.set_liveness(
            self.transport,
            sockets.ANSWERS_USER_TIMEOUT_MS
            if self.address is None
            else sockets.USER_TIMEOUT_MS,
        )
        self.is_up = True
        self._heard_at = self._reactor.seconds()
        self._output = outputs.BatchingOutput(
            self._reactor, self.transport, MAX_UNSENT_BYTES
        )
        for data in self._unsent:
            self._output.write(data)
        self._unsent.clear()
        if self._is_probed:
            self._schedule_probe()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        self._heard_at = self._reactor.seconds()
        self._is_awaiting = False
        try:
            messages = self._reader.feed(data)
        except exceptions.FrameError as error:
            self.close(str(error))
            return
        for message in messages:
            if self.is_closed:
                return
            if isinstance(message, frames.Ping):
                self.send(frames.Pong(message.number))
            elif not isinstance(message, frames.Pong):
                self._events.on_message(self, message)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Closes the link."""
        self.close(f"lost: {reason.getErrorMessage()}")

    @property
    def _is_probed(self) -> bool:
        return self.outstanding > 0 or self._is_awaiting

    def _expect_bytes(self) -> None:
        self._is_awaiting = True
        if self.is_up and self._probe_timer is None:
            self._heard_at = self._reactor.seconds()
            self._schedule_probe()

    def _schedule_probe(self) -> None:
        self._probe_due_at = self._reactor.seconds() + PROBE_INTERVAL_S
        self._probe_timer = self._reactor.callLater(
            PROBE_INTERVAL_S, self._probe
        )

    def _probe(self) -> None:
        self._probe_timer = None
        if self.is_closed or not self._is_probed:
            return
        now = self._reactor.seconds()
        # Timers run before sockets are read, so while this node was late the
        # peer may have sent bytes that have not been read yet.
        late_s = now - self._probe_due_at
        self._heard_at = min(now, self._heard_at + late_s)
        silent_s = now - self._heard_at
        if self.has_silence_limit and silent_s >= SILENCE_LIMIT_S:
            self.close(f"silent for {silent_s:.1f} s")
            return
        if silent_s >= SUSPECT_AFTER_S:
            self._events.on_suspect(self)
        if silent_s >= PROBE_INTERVAL_S:
            self.send(frames.Ping(0))
        self._schedule_probe()


class LinkListener:
    """Accepts links from peers.

    Attributes:
        links: the open accepted links.
    """

    def __init__(
        self, reactor: Any, address: model.Address, events: LinkEvents
    ) -> None:
        self.links: set[PeerLink] = set()
        self._reactor = reactor
        self._address = address
        self._events = LinkEvents(
            events.on_message, self._handle_down, events.on_suspect
        )
        self._on_down = events.on_down
        self._port: Any = None

    def start(self) -> None:
        """Opens the port.

        Raises:
            CannotListenError: if the port cannot be opened.
        """
        factory = protocol.Factory.forProtocol(self._accept)
        factory.noisy = False
        self._port = self._reactor.listenTCP(
            self._address.port,
            factory,
            backlog=512,
            interface=self._address.host,
        )

    @property
    def is_settled(self) -> bool:
        """Whether nothing written or received is under way on any link."""
        return all(link.is_settled for link in self.links)

    def stop_accepting(self) -> None:
        """Closes the port after accepting what waits in the kernel's queue.

        Calls on these links are read and refused; a reset would leave open
        whether they have run.
        """
        port, self._port = self._port, None
        if port is not None:
            self._reactor.callLater(0, listening.accept_waiting, port)
            port.stopListening()

    def close(self) -> None:
        """Stops accepting and closes the accepted links."""
        self.stop_accepting()
        for link in list(self.links):
            link.end("node stops")

    def _accept(self) -> PeerLink:
        link = PeerLink(self._reactor, self._events, None)
        self.links.add(link)
        return link

    def _handle_down(self, link: PeerLink, reason: str) -> None:
        self.links.discard(link)
        self._on_down(link, reason)
