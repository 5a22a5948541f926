"""Connections to the target on this host, with one request at a time on each.

What the received bytes and the end of a connection mean for the request is
decided by `answerreader`.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs
from twisted.internet import error as twisted_errors
from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import model
from filbertlift_sidecar import answerreader
from filbertlift_sidecar import answers
from filbertlift_sidecar import sockets
from filbertlift_transport import dialling
from filbertlift_transport import outputs

CONNECT_TIMEOUT_S: Final = 0.5
# Time for which an idle connection is reused, in seconds, unless the target
# announces a shorter one.
IDLE_LIMIT_S: Final = 4.0
# Longest idle time of a connection for a call that is not idempotent, in
# seconds. A target may close an idle connection without notice, and a call sent
# on it then may or may not have run.
MAX_FRESH_IDLE_S: Final = 0.5
# Requests that a connection carries. It keeps their ids, since a request must
# not use a connection on which an earlier answer with its id may be repeated.
MAX_REQUESTS: Final = 1000
# Characters of those ids after which a connection is not used again; ids of
# 60 characters reach it with the number of requests.
MAX_ID_CHARACTERS: Final = 64 * 1024
# Idle connections that are kept unless another number is given.
MAX_IDLE: Final = 100
# Subtracted from the idle limit that the target announces, in seconds, since
# the target starts its timer before this node does.
IDLE_MARGIN_S: Final = 1.0
# Interval at which a connection that is not read checks whether the streamed
# data was passed on, in seconds.
RESUME_INTERVAL_S: Final = 0.05
# Bytes of a body that are written at a time; the next are written once the
# connection has taken them.
BODY_PART_BYTES: Final = 256 * 1024


BacklogFunction = Callable[[], bool]


def never_backlogged() -> bool:
    """Returns False, for answers whose data never waits."""
    return False


@attrs.frozen
class ExchangeEvents:
    """Callbacks of one request and its answer.

    Attributes:
        on_answer: called with the complete answer or, if `more` is set, with
            the head of a streamed one.
        on_data: called with each further part of a streamed answer; the flag
            marks the last part.
        on_failure: called when no complete answer will arrive, with the reason
            and whether any byte of the request may have reached the target.
        is_backlogged: returns whether streamed data waits to be passed on, so
            that the target should not be read.
        on_sent: called when the whole request was written.
    """

    on_answer: Callable[[answers.TargetAnswer], None]
    on_data: Callable[[bytes, bool], None]
    on_failure: Callable[[str, bool], None]
    is_backlogged: BacklogFunction = never_backlogged
    on_sent: Callable[[], None] = lambda: None


class TargetConnection(protocol.Protocol):
    """One connection to the target.

    Attributes:
        idle_since: when the last exchange ended, in seconds.
        idle_limit_s: time after that for which it may be reused, in seconds.
        used_ids: ids of the requests that it carried. A request with one of
            them uses another connection, since the earlier answer may be
            written once more.
    """

    transport: Any

    def __init__(self, pool: "TargetPool") -> None:
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_LIMIT_S
        self.used_ids: set[str] = set()
        self._id_characters = 0
        self._pool = pool
        self._reader = answerreader.AnswerReader(pool.dialect)
        self._output: outputs.Output | None = None
        self._request: answers.TargetRequest | None = None
        self._events: ExchangeEvents | None = None
        self._is_sent = False
        # Part of the body that was not written yet.
        self._unsent = memoryview(b"")
        self._is_closed = False
        self._reactor: Any = None
        self._connector: Any = None
        self._is_paused = False

    def connect(self, reactor: Any, address: model.Address) -> None:
        """Opens the connection."""
        self._reactor = reactor
        self._connector = dialling.dial(
            reactor, address, self, CONNECT_TIMEOUT_S
        )

    def start(
        self, request: answers.TargetRequest, events: ExchangeEvents
    ) -> None:
        """Sends a request, now or as soon as the connection is open."""
        self._request = request
        self._events = events
        self._is_sent = False
        if self._output is not None:
            self._send()

    def drop(self) -> None:
        """Closes the connection; nothing more is reported."""
        self._events = None
        self._drop_body()
        if self._is_closed:
            return
        self._is_closed = True
        self._reader.release()
        self._pool.remove(self)
        if self.transport is not None:
            self.transport.abortConnection()
        elif self._connector is not None:
            self._connector.disconnect()

    def fail_connect(self, message: str) -> None:
        """Reports that no connection could be opened."""
        self._fail("connect-failed", message)

    # Twisted's protocol interface.

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the request that the connection was opened for."""
        if self._is_closed:
            self.transport.abortConnection()
            return
        sockets.set_liveness(self.transport)
        self._output = outputs.Output(self.transport, self._send_body)
        if self._request is not None:
            self._send()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        if self._is_closed:
            return
        if not self._reader.has_request:
            # Without an outstanding request no bytes are expected.
            self.drop()
            return
        self._handle_events(self._reader.feed(data))

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Completes a close-delimited answer, or reports a truncated one."""
        if self._is_closed:
            return
        if not self._reader.has_request:
            self.drop()
            return
        is_orderly = reason.check(twisted_errors.ConnectionDone) is not None
        message = reason.getErrorMessage()
        self._handle_events(self._reader.close(is_orderly, message))

    def _handle_events(self, events: list[answerreader.Event]) -> None:
        for event in events:
            if self._events is not None:
                self._handle_event(event, self._events)

    def _handle_event(
        self, event: answerreader.Event, callbacks: ExchangeEvents
    ) -> None:
        if isinstance(event, answerreader.StreamStarted):
            callbacks.on_answer(event.answer)
        elif isinstance(event, answerreader.StreamData):
            callbacks.on_data(event.data, False)
            self._pause_if_backlogged()
        elif isinstance(event, answerreader.Lost):
            self._fail(event.reason, event.message)
        else:
            self._finish(event, callbacks)

    def _pause_if_backlogged(self) -> None:
        """Stops reading while streamed data waits to be passed on.

        A body without end would otherwise fill the memory, since the link to
        the peer is slower than loopback.
        """
        events = self._events
        if self._is_paused or events is None or not events.is_backlogged():
            return
        self._is_paused = True
        self.transport.pauseProducing()
        self._schedule_resume()

    def _schedule_resume(self) -> None:
        self._reactor.callLater(RESUME_INTERVAL_S, self._resume)

    def _resume(self) -> None:
        if self._is_closed:
            return
        if self._events is not None and self._events.is_backlogged():
            self._schedule_resume()
            return
        self._is_paused = False
        self.transport.resumeProducing()

    def _finish(
        self, answered: answerreader.Answered, callbacks: ExchangeEvents
    ) -> None:
        """Keeps or closes the connection, then reports the answer."""
        self._request = None
        self._events = None
        if answered.keep_alive_s is not None:
            limit_s = max(0.0, answered.keep_alive_s - IDLE_MARGIN_S)
            self.idle_limit_s = min(IDLE_LIMIT_S, limit_s)
        # The unsent rest of a request would go out before the next one.
        output = self._output
        is_sent = output is not None and not output.is_full and not self._unsent
        is_full = (
            len(self.used_ids) >= MAX_REQUESTS
            or self._id_characters >= MAX_ID_CHARACTERS
        )
        is_usable = is_sent and not is_full and not self._is_paused
        if answered.is_reusable and is_usable:
            self._pool.put_idle(self)
        else:
            self.drop()
        if answered.answer is None:
            callbacks.on_data(b"", True)
        else:
            callbacks.on_answer(answered.answer)

    def _fail(self, reason: str, message: str) -> None:
        events, is_sent = self._events, self._is_sent
        self.drop()
        if events is not None:
            events.on_failure(f"{reason}: {message}", is_sent)

    def _send(self) -> None:
        assert self._request is not None and self._output is not None
        self._is_sent = True
        self.used_ids.add(self._request.request_id)
        self._id_characters += len(self._request.request_id)
        self._output.write(self._request.data)
        body = self._request.body
        self._drop_body()
        self._reader.start(self._request)
        self._unsent = memoryview(body)
        self._send_body()

    def _send_body(self) -> None:
        """Writes the next part of the body, if the connection takes it."""
        if self._is_closed or self._output is None or self._output.is_full:
            return
        if self._unsent:
            part = bytes(self._unsent[:BODY_PART_BYTES])
            self._unsent = self._unsent[BODY_PART_BYTES:]
            if not self._unsent:
                # An empty view would still hold the body.
                self._unsent = memoryview(b"")
            self._output.write(part)
            if self._unsent and not self._output.is_full:
                # Other connections are served between two parts.
                self._reactor.callLater(0, self._send_body)
        if not self._unsent and self._events is not None:
            self._events.on_sent()

    def _drop_body(self) -> None:
        self._unsent = memoryview(b"")
        if self._request is not None and self._request.body:
            self._request = attrs.evolve(self._request, body=b"")


class TargetPool:
    """Connections to the target on this host.

    Attributes:
        dialect: names of the headers that the target uses.
        max_idle: number of idle connections that are kept.
    """

    def __init__(
        self,
        reactor: Any,
        address: model.Address,
        dialect: answers.TargetDialect,
        max_idle: int = MAX_IDLE,
    ) -> None:
        self.dialect = dialect
        self.max_idle = max_idle
        self._reactor = reactor
        self._address = address
        self._connections: set[TargetConnection] = set()
        self._idle: list[TargetConnection] = []

    def send(
        self, request: answers.TargetRequest, events: ExchangeEvents
    ) -> TargetConnection:
        """Sends a request; dropping the returned connection cancels it."""
        connection = self._take_idle(request)
        if connection is None:
            connection = TargetConnection(self)
            self._connections.add(connection)
            connection.start(request, events)
            connection.connect(self._reactor, self._address)
            return connection
        connection.start(request, events)
        return connection

    def put_idle(self, connection: TargetConnection) -> None:
        """Keeps a connection for the next request."""
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)
        # Requests without an id use no idle connection, but leave one behind.
        if len(self._idle) > self.max_idle:
            self._idle[0].drop()

    def remove(self, connection: TargetConnection) -> None:
        """Removes a closed connection."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        now = self._reactor.seconds()
        for connection in list(self._idle):
            if now - connection.idle_since >= connection.idle_limit_s:
                connection.drop()

    def close(self) -> None:
        """Closes every connection without reporting outstanding requests."""
        for connection in list(self._connections):
            connection.drop()

    def _take_idle(
        self, request: answers.TargetRequest
    ) -> TargetConnection | None:
        """Returns the connection used last that the request may use."""
        if not request.request_id:
            # Its answer cannot be told from those to earlier requests.
            return None
        now = self._reactor.seconds()
        for connection in reversed(self._idle[:]):
            idle_s = now - connection.idle_since
            if idle_s >= connection.idle_limit_s:
                connection.drop()
                continue
            if request.needs_fresh and idle_s >= MAX_FRESH_IDLE_S:
                # The connections below it on the stack have been idle longer.
                return None
            if request.request_id in connection.used_ids:
                # Kept, such connections would add up while an id is repeated.
                connection.drop()
                continue
            self._idle.remove(connection)
            return connection
        return None
