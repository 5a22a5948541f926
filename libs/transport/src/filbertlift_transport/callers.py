"""Connections of callers to the HTTP server."""

import collections
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import protocol
from twisted.python import failure

from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_transport import http
from filbertlift_transport import memory
from filbertlift_transport import outputs
from filbertlift_transport import reply as replies
from filbertlift_transport import requests
from filbertlift_transport import uploads

if TYPE_CHECKING:
    from filbertlift_transport import server as servers

# Time for a caller to close its side of a connection after the last response.
LINGER_S = 5.0
# Longest time for which a request waits for the memory of its body, in seconds.
# Its caller is then told that it has not run, and may find room elsewhere.
MAX_MEMORY_WAIT_S = 3.0
# Bytes that are read at a time: of heads, and of a body that has its memory.
# What is read of a body that has to wait is held beside the budget of bodies.
HEAD_READ_BYTES = 16 * 1024
BODY_READ_BYTES = 64 * 1024
# Bytes that have to arrive between two sweeps of a body that others wait for.
MIN_PROGRESS_BYTES = 16 * 1024
# Requests that are read ahead of the one that is answered.
MAX_AHEAD = 8
_JSON = (http.Header("Content-Type", "application/json"),)
_FULL = (503, "FL-HTTP-FULL", "too many connections")
# Tells a caller that was refused for lack of memory when to retry.
_RETRY = http.Header("Retry-After", "1")


class ServerConnection(protocol.Protocol):
    """One connection of a caller; answers requests in order."""

    transport: Any

    def __init__(self, server: "servers.HttpServer") -> None:
        self.output: outputs.Output
        self._server = server
        self._pending: collections.deque[requests.ParsedRequest] = (
            collections.deque()
        )
        self._reply: replies.Reply | None = None
        self._current: requests.ParsedRequest | None = None
        self._reader: requests.RequestReader
        # Body of the current request, if it is passed on in parts.
        self._upload: uploads.Upload | None = None
        # Start of the time in which the caller has to send a head or a body.
        self._waiting_since = server.read_time()
        self._full_since: float | None = None
        self._is_closing = False
        # Whether the sending side is closed and received bytes are dropped.
        self._is_lingering = False
        # Whether the rest of a request may arrive after its response.
        self._is_refused = False
        self._may_linger = True
        self._is_reading = True
        self._is_reading_body = False
        # Memory of answers that the socket does not accept.
        self._unsent: memory.Charge | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Sets up the connection, or refuses it over the limit."""
        peer = self.transport.getPeer()
        self._reader = requests.RequestReader(
            self._server.get_limits,
            model.Address(peer.host, peer.port),
            self.transport,
            self._server.memory,
            self._server.heads,
            self._continue_body,
            self.evict,
        )
        self.transport.bufferSize = HEAD_READ_BYTES
        self.output = outputs.Output(
            self.transport, self._report_drained, self._charge_unsent
        )
        if not self._server.add(self):
            # Connections over the limit are closed at once.
            self._refuse(*_FULL, lingers=False)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles received bytes."""
        if not self._is_closing:
            self._read(data)
            self._serve_next()

    def _read(self, data: bytes) -> None:
        """Parses received bytes, and those held before."""
        previous_phase = self._phase
        most = MAX_AHEAD if self._server.heads.is_relaxed else 1
        completed = self._reader.feed(data, most - len(self._pending))
        if completed or self._phase != previous_phase or self._reader.upload:
            self._waiting_since = self._server.read_time()
        self._pending.extend(completed)
        if self._reader.is_waiting or self._reader.has_held:
            self._pause_reading()
        else:
            self._resume_reading()
        self._adapt_buffer()
        self._send_continue()

    def _adapt_buffer(self) -> None:
        """Reads much at once only of a body that has its memory."""
        is_reading = self._reader.is_reading_body
        if is_reading != self._is_reading_body:
            self._is_reading_body = is_reading
            self.transport.bufferSize = (
                BODY_READ_BYTES if is_reading else HEAD_READ_BYTES
            )

    def connectionLost(  # noqa: N802
        self, _reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the current reply, which notifies its handler."""
        self._is_closing = True
        if self._is_lingering:
            self._is_lingering = False
            self._server.lingering -= 1
        pending = list(self._pending)
        self._pending.clear()
        self._server.remove(self)
        unsent, self._unsent = self._unsent, None
        if unsent is not None:
            unsent.release()
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.drop()
        self._reader.close()
        self.output.release()
        for parsed in pending:
            parsed.release()
        self._release_current()

    def call_soon(self, function: Callable[[], None]) -> None:
        """Calls the function after the current reactor iteration."""
        self._server.reactor.callLater(0, function)

    def end_reply(self, reply: replies.Reply, keep: bool) -> None:
        """Ends the response; serves the next request or closes."""
        if reply is not self._reply:
            return
        self._reply = None
        self._release_current()
        upload, self._upload = self._upload, None
        if upload is not None and not upload.is_over:
            # The response was sent before the whole body arrived; the rest of
            # the body is read and discarded.
            upload.resume()
            self._is_refused = True
            keep = False
        if not keep:
            self._close()
            return
        self._waiting_since = self._server.read_time()
        self._send_continue()
        if self.has_pending or self._reader.refusal is not None:
            self._server.reactor.callLater(0, self._serve_next)
        else:
            self._server.note_unused(self)

    def check_timeouts(self, now: float) -> None:
        """Closes the connection of a caller that is too slow or idle."""
        limits = self._server.limits
        elapsed = now - self._waiting_since
        if self._reply is not None:
            self._check_unread_response(now)
            self._check_paused()
            upload = self._upload
            is_expected = upload is not None and not upload.is_suspended
            if is_expected and elapsed >= limits.body_s:
                self.transport.abortConnection()
        elif self._is_closing:
            # The caller does not read the last response or does not close.
            if elapsed >= (LINGER_S if self.output.is_sent else limits.idle_s):
                self.transport.abortConnection()
        elif self.output.is_full:
            self._check_unread_response(now)
        else:
            self._check_request(elapsed)

    def _check_request(self, elapsed: float) -> None:
        """Ends a request that does not arrive, or an idle connection."""
        limits = self._server.limits
        if self._reader.is_waiting:
            if elapsed >= MAX_MEMORY_WAIT_S:
                self._refuse_body()
        elif self._reader.is_in_head and elapsed >= limits.head_s:
            self._refuse(408, "FL-HTTP-SLOW", "request head took too long")
        elif self._reader.is_in_body and elapsed >= limits.body_s:
            self._refuse(408, "FL-HTTP-SLOW", "request body took too long")
        elif self._is_idle and elapsed >= limits.idle_s:
            self._close_idle()

    def check_progress(self) -> int:
        """Returns the memory of a body that arrives too slowly, or 0."""
        return self._reader.check_progress(MIN_PROGRESS_BYTES)

    def stop_when_idle(self) -> None:
        """Closes now if idle, else after the current request."""
        if self._is_closing:
            return
        if self._reply is not None:
            self._reply.close_after()
        elif self._is_idle and not self.has_pending:
            self._close_idle()

    def give_way(self) -> bool:
        """Closes in favour of a new connection, unless a request has come."""
        if self.output.has_received:
            return False
        self._may_linger = False
        if self._is_idle:
            self._close()
        else:
            self._refuse(*_FULL, lingers=False)
        return True

    def refuse_partial(self) -> None:
        """Refuses a request that has arrived in part."""
        if self._reply is None and self.is_receiving and not self.has_pending:
            self._refuse(503, "FL-HTTP-STOPPING", "server is stopping")

    def end(self) -> None:
        """Closes the connection at once.

        A response that the kernel has accepted as a whole is still delivered;
        one that is incomplete is aborted, so it is not taken as complete.
        """
        self.refuse_partial()
        if self.is_answering or self.output.is_full:
            self.transport.abortConnection()
            return
        self.output.end()

    def _check_unread_response(self, now: float) -> None:
        """Closes the connection of a caller that does not read its response."""
        if not self.output.is_full:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        elif now - self._full_since >= self._server.limits.idle_s:
            self.transport.abortConnection()

    def _check_paused(self) -> None:
        """Closes a connection that its caller closed behind unread bytes."""
        if not self._is_reading and self.output.is_ended_by_peer:
            self.transport.abortConnection()

    @property
    def has_pending(self) -> bool:
        """Whether a request may wait behind the current one."""
        if self._is_closing:
            return False
        is_held = self._reader.has_held and not self._reader.is_waiting
        return is_held or bool(self._pending)

    @property
    def is_receiving(self) -> bool:
        """Whether a request has arrived in part."""
        return not self._is_idle and not self._is_closing

    @property
    def is_answering(self) -> bool:
        """Whether a request is not answered yet."""
        return self._reply is not None or bool(self._pending)

    @property
    def is_settled(self) -> bool:
        """Whether closing now cuts off no request and no response."""
        is_unread = not self._is_closing and self.output.has_received
        return not (
            self.is_answering
            or self.is_receiving
            or self._is_refused
            or is_unread
            or not self.output.is_sent
        )

    @property
    def _is_idle(self) -> bool:
        return self._phase == (False, False)

    @property
    def _phase(self) -> tuple[bool, bool]:
        return self._reader.is_in_head, self._reader.is_in_body

    def _serve_next(self) -> None:
        # A caller that does not read its answers gets no further ones.
        is_busy = self._reply is not None or self.output.is_full
        if is_busy or self._is_closing:
            return
        if not self._pending and self.has_pending:
            self._read(b"")
        if not self._pending:
            self._refuse_failed()
            return
        parsed = self._pending.popleft()
        reply = replies.Reply(
            connection=self,
            is_head=parsed.request.method == "HEAD",
            is_http_1_0=parsed.is_http_1_0,
            keep=parsed.keep,
        )
        if self._server.is_stopping:
            reply.close_after()
        self._server.note_used(self)
        self._reply = reply
        self._current = parsed
        self._upload = parsed.request.upload
        try:
            self._server.handle(parsed.request, reply)
        except Exception as error:
            # An error in the handler must not affect other callers.
            logs.log_event("http.handler-failed", error=repr(error))
            reply.abort()

    def _pause_reading(self) -> None:
        if self._is_reading:
            self._is_reading = False
            self.transport.pauseProducing()

    def _resume_reading(self) -> None:
        if not self._is_reading:
            self._is_reading = True
            self.transport.resumeProducing()

    def _continue_body(self) -> None:
        """Reads a body on once its memory is granted."""
        if self._is_closing:
            return
        self._waiting_since = self._server.read_time()
        self._adapt_buffer()
        self._send_continue()
        if self._reader.has_held:
            self._server.reactor.callLater(0, self._read_on)
        else:
            self._resume_reading()

    def _read_on(self) -> None:
        if not self._is_closing:
            self._read(b"")
            self._serve_next()

    def _send_continue(self) -> None:
        """Asks for a body that the caller holds back, if there is room.

        Responses that are due come before it.
        """
        is_asked = self._reader.wants_continue and not self._reader.is_waiting
        if not is_asked or self.is_answering:
            return
        self._reader.wants_continue = False
        self.output.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _refuse_body(self) -> None:
        """Refuses a request whose body has waited too long for memory."""
        assert self._server.memory is not None
        self._server.memory.note_refused()
        refusal = requests.make_memory_error().refusal
        self._refuse(refusal.status, refusal.code, refusal.message)

    def evict(self) -> None:
        """Refuses the incomplete request, whose memory others need."""
        if self._is_closing:
            self._reader.release()
            return
        refusal = requests.make_memory_error().refusal
        self._refuse(refusal.status, refusal.code, refusal.message)

    def _release_current(self) -> None:
        current, self._current = self._current, None
        if current is not None:
            current.release()

    def _refuse(
        self, status: int, code: str, message: str, lingers: bool = True
    ) -> None:
        self._reader.refuse(requests.Refusal(status, code, message))
        self._may_linger = lingers
        # The responses to earlier requests come before it.
        if not self.is_answering:
            self._refuse_failed()

    def _refuse_failed(self) -> None:
        """Answers a request that was refused while it was read."""
        refusal = self._reader.refusal
        if refusal is None:
            return
        reply = replies.Reply(
            connection=self, is_head=False, is_http_1_0=False, keep=False
        )
        self._reply = reply
        self._is_refused = self._may_linger
        self._resume_reading()
        code = refusal.code
        headers = (*_JSON, _RETRY) if code == requests.NO_MEMORY else _JSON
        body = http.make_error_body(code, refusal.message)
        reply.send(refusal.status, headers, body)

    def _close_idle(self) -> None:
        # Timers of a late event loop run before sockets are read, so a request
        # may have arrived in time.
        if not self.output.has_received:
            self._close()

    def _close(self) -> None:
        self._is_closing = True
        self._server.note_used(self)
        self._reader.release()
        self._waiting_since = self._server.read_time()
        if not self._may_linger or not self._server.may_linger:
            self.output.close()
            return
        # Closing while bytes of the caller may arrive makes the kernel discard
        # what the caller has not received, so they are read and dropped.
        self._is_lingering = True
        self._server.lingering += 1
        self._resume_reading()
        self.output.close_sending()

    def _charge_unsent(self) -> None:
        """Charges the answers that the caller does not read.

        The connection with most of them is aborted if there are too many.
        """
        if self._unsent is None:
            abort = self.transport.abortConnection
            self._unsent = self._server.answers.open(abort)
        if not self._unsent.resize(self.output.unsent_bytes):
            self.transport.abortConnection()

    def _report_drained(self) -> None:
        self._full_since = None
        reply = self._reply
        if reply is not None and reply.on_drained is not None:
            reply.on_drained()
        elif reply is None:
            self._server.reactor.callLater(0, self._serve_next)
