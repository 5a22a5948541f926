"""Connections to the target beside this node; one request at a time on each.

A target may break off, send bytes that are no answer, or a second answer to an
earlier request where the next one is due, so an answer counts only if it
carries the id of the request that is waiting for it.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs
import httptools
from twisted.internet import error as twisted_errors
from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import model
from filbertlift_sidecar import frames
from filbertlift_sidecar import sockets
from filbertlift_transport import dialling
from filbertlift_transport import http
from filbertlift_transport import outputs

CONNECT_TIMEOUT_S: Final = 0.5
# Idle connections are reused for this long unless the target says less.
IDLE_LIMIT_S: Final = 4.0
# A target may drop an idle connection unannounced, and a call sent on it may
# or may not have run, so calls that run once use a fresh one.
FRESH_IDLE_S: Final = 0.5
# The target's own limit runs from an earlier moment than this node's.
IDLE_MARGIN_S: Final = 1.0
MAX_HEAD_BYTES: Final = 65_536
# Answers up to this size are collected before they are passed on, so that one
# that breaks off can be replaced by another attempt.
MAX_WHOLE_BYTES: Final = 2 * 1024 * 1024
# Statuses whose answers have no body.
_BODYLESS: Final = (204, 304)


@attrs.frozen
class TargetDialect:
    """Names of the headers that targets understand.

    Attributes:
        request_id: id of a request and of its answer.
        signature: mark of an answer that the target itself made.
        not_run: mark of an answer to a request that has not run.
        instance: id of the target that a request is meant for.
        deadline: milliseconds that the caller still waits.
        caller: service of the host where the request began.
        retry_after: seconds after which a refused caller may return.
        misdirected_status: status of a target that is not the one meant.
    """

    request_id: str
    signature: str
    not_run: str
    instance: str
    deadline: str
    caller: str
    retry_after: str = "Retry-After"
    misdirected_status: int = 421


@attrs.frozen
class TargetAnswer:
    """Head of an answer, and its body as far as it was collected.

    Attributes:
        status: HTTP status.
        headers: headers without framing.
        body: the body or its first part.
        length: bytes of the whole body, None when not known.
        more: whether more of the body follows.
    """

    status: int
    headers: frames.Headers
    body: bytes
    length: int | None
    more: bool


@attrs.frozen
class ExchangeEvents:
    """Functions that an exchange calls.

    Attributes:
        on_answer: the answer is complete, or with `more` has begun.
        on_data: further part of an answer that has begun; the flag tells the
            last one.
        on_failure: no complete answer will arrive; says why, and whether any
            byte of the request may have reached the target.
    """

    on_answer: Callable[[TargetAnswer], None]
    on_data: Callable[[bytes, bool], None]
    on_failure: Callable[[str, bool], None]


@attrs.frozen
class TargetRequest:
    """A request as it is sent.

    Attributes:
        request_id: id that the answer must carry.
        data: the bytes of head and body.
        is_head: whether the answer has no body.
        needs_fresh: whether only a connection used lately will do.
    """

    request_id: str
    data: bytes
    is_head: bool
    needs_fresh: bool


@attrs.define(eq=False)
class _Reading:
    """What has been read of the present answer."""

    has_head: bool = False
    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    head_bytes: int = 0
    # Bytes of the body, None when the answer does not say.
    length: int | None = None
    # The body ends with the connection.
    is_unframed: bool = False
    # It answers another request than the one that waits.
    is_foreign: bool = False
    is_streaming: bool = False
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def take_headers(
        self, marks: TargetDialect, request: TargetRequest | None
    ) -> dict[str, str]:
        """Reads the framing and keeps the other headers.

        Returns:
            The headers by lower-case name.
        """
        found = {name.lower(): value for name, value in self.headers}
        self.headers = [
            (name, value)
            for name, value in self.headers
            if name.lower() not in http.FRAMING_HEADERS
        ]
        text = found.get("content-length", "")
        self.length = int(text) if text.isdigit() else None
        bodyless = self.status in _BODYLESS
        if request is not None:
            bodyless = bodyless or request.is_head
            self.is_foreign = self._is_for_another(found, marks, request)
        if bodyless:
            self.length = 0
        self.is_unframed = (
            self.length is None and "transfer-encoding" not in found
        )
        return found

    def _is_for_another(
        self,
        found: dict[str, str],
        marks: TargetDialect,
        request: TargetRequest,
    ) -> bool:
        answered = found.get(marks.request_id.lower())
        if answered is not None:
            return answered != request.request_id
        # Refusals may come without an id.
        is_refusal = (
            marks.not_run.lower() in found
            or self.status == marks.misdirected_status
        )
        return bool(request.request_id) and not is_refusal


class TargetConnection(protocol.Protocol):
    """One connection to the target.

    Attributes:
        idle_since: when the last exchange ended, in seconds.
        idle_limit_s: how long it may be reused after that.
    """

    transport: Any

    def __init__(self, pool: "TargetPool") -> None:
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_LIMIT_S
        self._pool = pool
        self._parser: Any = None
        self._output: outputs.Output | None = None
        self._request: TargetRequest | None = None
        self._events: ExchangeEvents | None = None
        self._is_sent = False
        self._is_closed = False
        self._connector: Any = None
        self._keeps_alive = False
        self._is_spoiled = False
        self._report: Callable[[], None] | None = None
        self._reading = _Reading()

    def connect(self, reactor: Any, address: model.Address) -> None:
        """Opens the connection."""
        self._connector = dialling.dial(
            reactor, address, self, CONNECT_TIMEOUT_S
        )

    def start(self, request: TargetRequest, events: ExchangeEvents) -> None:
        """Sends a request, now or as soon as the connection is open."""
        self._request = request
        self._events = events
        self._is_sent = False
        if self._output is not None:
            self._send()

    def drop(self) -> None:
        """Closes the connection; nothing more is reported."""
        self._events = None
        if self._is_closed:
            return
        self._is_closed = True
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
        self._output = outputs.Output(self.transport, lambda: None)
        self._parser = httptools.HttpResponseParser(self)
        if self._request is not None:
            self._send()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        if self._is_closed:
            return
        if self._request is None:
            # Bytes that no request waits for belong to none.
            self.drop()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._is_spoiled = True
            if self._request is not None:
                self._fail("malformed", str(error))
                return
        if self._request is None:
            self._finish()
            return
        if not self._is_closed and self._reading.head_bytes > MAX_HEAD_BYTES:
            self._fail("head-too-large", "head of the answer is too large")

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends an answer without a length, or reports one that is cut off."""
        if self._is_closed:
            return
        is_clean = reason.check(twisted_errors.ConnectionDone) is not None
        if is_clean and self._reading.has_head and self._reading.is_unframed:
            self._keeps_alive = False
            self._complete()
            self._finish()
            return
        self._fail("lost", reason.getErrorMessage())

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """An answer starts."""
        self._reset()
        if self._request is None:
            # More than one answer: the connection is of no use afterwards.
            self._is_spoiled = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, which is left out."""
        if self._reading.has_head:
            return
        self._reading.head_bytes += len(name) + len(value)
        key = name.decode("latin-1")
        self._reading.headers.append((key, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._reading.has_head = True
        self._reading.status = status
        self._read_framing()

    def on_body(self, data: bytes) -> None:
        """Part of the body arrived."""
        if self._reading.is_foreign or self._request is None:
            return
        if self._reading.is_streaming:
            assert self._events is not None
            self._events.on_data(data, False)
            return
        self._reading.parts.append(data)
        self._reading.size += len(data)
        if self._reading.size > MAX_WHOLE_BYTES:
            self._begin_stream()

    def on_message_complete(self) -> None:
        """The answer is complete."""
        if not self._reading.has_head:
            self._reset()
            return
        if self._request is None:
            return
        if self._reading.is_foreign:
            # A late answer to an earlier request; the awaited one follows.
            self._is_spoiled = True
            self._reset()
            return
        self._keeps_alive = self._parser.should_keep_alive()
        self._complete()

    def _read_framing(self) -> None:
        found = self._reading.take_headers(self._pool.dialect, self._request)
        self._read_keep_alive(found.get("keep-alive", ""))

    def _read_keep_alive(self, value: str) -> None:
        for part in value.split(","):
            name, _, text = part.strip().partition("=")
            if name == "timeout" and text.isdigit():
                limit = max(0.0, int(text) - IDLE_MARGIN_S)
                self.idle_limit_s = min(IDLE_LIMIT_S, limit)

    def _begin_stream(self) -> None:
        assert self._events is not None
        self._reading.is_streaming = True
        self._events.on_answer(self._make_answer(more=True))
        self._reading.parts = []

    def _make_answer(self, more: bool) -> TargetAnswer:
        body = b"".join(self._reading.parts)
        length = self._reading.length if more else len(body)
        return TargetAnswer(
            self._reading.status,
            tuple(self._reading.headers),
            body,
            length,
            more,
        )

    def _complete(self) -> None:
        """Ends the exchange; it is reported when all bytes were read.

        What follows a whole answer in the same bytes tells whether the
        connection can carry another request.
        """
        events, self._events = self._events, None
        self._request = None
        if events is not None:
            answer = self._make_answer(more=False)
            if self._reading.is_streaming:
                self._report = lambda: events.on_data(b"", True)
            else:
                self._report = lambda: events.on_answer(answer)
        self._reset()

    def _finish(self) -> None:
        report, self._report = self._report, None
        output = self._output
        is_sent = output is not None and not output.is_full
        if self._keeps_alive and is_sent and not self._is_spoiled:
            self._pool.put_idle(self)
        else:
            # The rest of a body that is still unsent would follow later.
            self.drop()
        if report is not None:
            report()

    def _fail(self, reason: str, message: str) -> None:
        events, is_sent = self._events, self._is_sent
        self.drop()
        if events is not None:
            events.on_failure(f"{reason}: {message}", is_sent)

    def _send(self) -> None:
        assert self._request is not None and self._output is not None
        self._is_sent = True
        self._reset()
        self._output.write(self._request.data)

    def _reset(self) -> None:
        self._reading = _Reading()


class TargetPool:
    """Connections to the target beside this node.

    Attributes:
        dialect: names of the headers that the target understands.
    """

    def __init__(
        self, reactor: Any, address: model.Address, dialect: TargetDialect
    ) -> None:
        self.dialect = dialect
        self._reactor = reactor
        self._address = address
        self._connections: set[TargetConnection] = set()
        self._idle: list[TargetConnection] = []

    def send(
        self, request: TargetRequest, events: ExchangeEvents
    ) -> TargetConnection:
        """Sends a request; returns the connection, to drop it by."""
        connection = self._take_idle(request.needs_fresh)
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

    def remove(self, connection: TargetConnection) -> None:
        """Forgets a connection that is gone."""
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
        """Closes every connection; requests under way are not reported."""
        for connection in list(self._connections):
            connection.drop()

    def _take_idle(self, needs_fresh: bool) -> TargetConnection | None:
        now = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            limit = connection.idle_limit_s
            if needs_fresh:
                limit = min(limit, FRESH_IDLE_S)
            if now - connection.idle_since < limit:
                return connection
            if needs_fresh:
                # Older ones below it on the stack are no fresher.
                self._idle.append(connection)
                return None
            connection.drop()
        return None
