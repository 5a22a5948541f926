"""State machine of the answers on one connection to the target, without I/O.

Received bytes and the end of the connection go in, and events of the
outstanding request come out. `find_owner` says which request an answer is for,
and `decide` what the end of an answer means for the outstanding request. A
target may write earlier answers and refusals once more, so bytes that are not
known to answer the outstanding request never end it as answered.
"""

from collections.abc import Mapping
import enum
from typing import Any
from typing import Final

import attrs
import httptools

from filbertlift_sidecar import answers
from filbertlift_sidecar import exceptions
from filbertlift_transport import http

MAX_HEAD_BYTES: Final = 65_536
# Answers up to this size are buffered before they are forwarded, so that a
# truncated one can be replaced by another attempt.
MAX_BUFFERED_BYTES: Final = 2 * 1024 * 1024
# Bytes of answers to other requests that are skipped before the answer that is
# due; a faulty target may send them without end.
MAX_SKIPPED_BYTES: Final = 16 * 1024 * 1024

_BODYLESS_STATUSES: Final = (204, 304)


class Position(enum.Enum):
    """How much of an answer has been received."""

    NOTHING = "nothing"
    HEAD = "part of the head"
    FRAMED_BODY = "the head, of a body with a length or in chunks"
    UNFRAMED_BODY = "the head, of a body that ends with the connection"


class Owner(enum.Enum):
    """Which request an answer is for."""

    UNKNOWN = "unknown before the head of a final answer is complete"
    OUTSTANDING = "the outstanding request"
    OTHER = "another request, or none that can be told"


class Ending(enum.Enum):
    """What ends an answer."""

    FRAMING = "its length, its last chunk, or a head without a body"
    CLOSE = "an orderly end of the connection"
    RESET = "a reset of the connection"
    FAULT = "bytes that are malformed or over a limit"


class Outcome(enum.Enum):
    """What the end of an answer means for the outstanding request."""

    ANSWERED = "the answer ends it"
    SKIPPED = "its answer still follows"
    LOST = "its answer will not arrive, and it may have run"


def decide(position: Position, owner: Owner, ending: Ending) -> Outcome:
    """Returns what the end of an answer means for the outstanding request."""
    if ending is Ending.FRAMING:
        is_due = owner is Owner.OUTSTANDING
        return Outcome.ANSWERED if is_due else Outcome.SKIPPED
    is_whole = ending is Ending.CLOSE and position is Position.UNFRAMED_BODY
    if is_whole and owner is Owner.OUTSTANDING:
        return Outcome.ANSWERED
    return Outcome.LOST


def find_owner(
    answered_id: str | None,
    request: answers.TargetRequest,
    is_refusal: bool,
    is_reused: bool,
) -> Owner:
    """Returns which request an answer is for.

    Args:
        answered_id: id in the answer, None if it has none.
        request: the outstanding request.
        is_refusal: whether the answer says that its request has not run.
        is_reused: whether the connection carried an earlier request.
    """
    if answered_id is not None:
        is_due = answered_id == request.request_id
    elif not request.request_id:
        is_due = not is_reused
    else:
        # A refusal may come without an id. On a reused connection it may be
        # that of an earlier request, written once more, while the outstanding
        # one runs.
        is_due = is_refusal and not is_reused
    return Owner.OUTSTANDING if is_due else Owner.OTHER


@attrs.frozen
class StreamStarted:
    """The head and the first part of an answer; `StreamData` follows."""

    answer: answers.TargetAnswer


@attrs.frozen
class StreamData:
    """A further part of a streamed answer."""

    data: bytes


@attrs.frozen
class Answered:
    """The outstanding request is answered.

    Attributes:
        answer: the complete answer, None if it was streamed.
        is_reusable: whether the connection can carry another request.
        keep_alive_s: time for which the target keeps an idle connection, None
            if it does not say.
    """

    answer: answers.TargetAnswer | None
    is_reusable: bool
    keep_alive_s: int | None


@attrs.frozen
class Lost:
    """No complete answer will arrive; the outstanding request may have run.

    Attributes:
        reason: `lost`, `malformed` or `head-too-large`.
        message: what happened, in one sentence.
    """

    reason: str
    message: str


Event = StreamStarted | StreamData | Answered | Lost


@attrs.define(eq=False)
class _PartialAnswer:
    """What has been received of an answer.

    Attributes:
        position: how much of it has been received.
        has_head: whether the head of a final answer is complete.
        owner: which request it is for.
        status: HTTP status.
        headers: headers, without those of framing once the head is complete.
        head_bytes: size of the headers.
        length: length of the body in bytes, None if the answer declares none.
        keep_alive_s: time for which the target keeps an idle connection.
        is_streaming: whether the head was reported before the end.
        parts: the buffered parts of the body.
        size: number of bytes in `parts`.
    """

    position: Position = Position.NOTHING
    has_head: bool = False
    owner: Owner = Owner.UNKNOWN
    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    head_bytes: int = 0
    length: int | None = None
    keep_alive_s: int | None = None
    is_streaming: bool = False
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def make_answer(self, more: bool) -> answers.TargetAnswer:
        """Returns the head and the buffered part of the body."""
        body = b"".join(self.parts)
        length = self.length if more else len(body)
        return answers.TargetAnswer(
            self.status, tuple(self.headers), body, length, more
        )


class AnswerReader:
    """Reads the answers on one connection, which carries a request at a time.

    Attributes:
        has_request: whether a request is outstanding.
    """

    def __init__(self, dialect: answers.TargetDialect) -> None:
        self._dialect = dialect
        self._parser: Any = httptools.HttpResponseParser(self)
        self._request: answers.TargetRequest | None = None
        self._is_reused = False
        # Whether the connection can carry another request: the target keeps it
        # open, the parser has read every answer to its end, and no bytes came
        # beside the answers that were due.
        self._is_reusable = True
        self._events: list[Event] = []
        # The answer that ended a request, until it is reported.
        self._due_answer: _PartialAnswer | None = None
        self._answer = _PartialAnswer()
        # Bytes received since the last complete head or part of a body.
        self._pending_bytes = 0
        # Bytes of bodies that belong to other requests.
        self._skipped_bytes = 0

    @property
    def has_request(self) -> bool:
        """Whether a request is outstanding."""
        return self._request is not None

    def start(self, request: answers.TargetRequest) -> None:
        """Notes that a request is sent."""
        self._request = request
        self._answer = _PartialAnswer()
        self._pending_bytes = 0

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events of received bytes.

        The request is reported as answered only after all of them are parsed,
        since bytes behind its answer rule out that the connection is reused.
        """
        self._pending_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._is_reusable = False
            # The parser wraps the errors of callbacks.
            message = str(error.__context__ or error)
            self._end_answer(Ending.FAULT, "malformed", message)
        # The parser keeps an incomplete line, which may have no end.
        head_bytes = max(self._answer.head_bytes, self._pending_bytes)
        if head_bytes > MAX_HEAD_BYTES:
            message = "head of the answer is too large"
            self._end_answer(Ending.FAULT, "head-too-large", message)
        elif self._skipped_bytes > MAX_SKIPPED_BYTES:
            message = "too much data that is not the answer"
            self._end_answer(Ending.FAULT, "malformed", message)
        return self._take_events()

    def release(self) -> None:
        """Drops what was received; nothing is read any more."""
        self._parser = None
        self._answer = _PartialAnswer()

    def close(self, is_orderly: bool, message: str) -> list[Event]:
        """Returns the events of the end of the connection."""
        self._is_reusable = False
        ending = Ending.CLOSE if is_orderly else Ending.RESET
        self._end_answer(ending, "lost", message)
        return self._take_events()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """An answer starts."""
        if self._request is None:
            self._is_reusable = False
        self._answer = _PartialAnswer(Position.HEAD)

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header arrived; trailers are ignored."""
        answer = self._answer
        if answer.has_head:
            return
        answer.head_bytes += len(name) + len(value)
        key = name.decode("latin-1")
        answer.headers.append((key, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """The head is complete, of a final or an interim answer."""
        if self._request is None:
            return
        status = self._parser.get_status_code()
        fault = http.find_head_fault(status, self._parser.get_http_version())
        if status < http.MIN_FINAL_STATUS and not fault:
            return
        self._pending_bytes = 0
        self._answer.has_head = True
        self._answer.status = status
        self._read_head(self._answer, self._request, fault)

    def on_body(self, data: bytes) -> None:
        """A part of the body arrived."""
        self._pending_bytes = 0
        answer = self._answer
        if self._request is None or answer.owner is not Owner.OUTSTANDING:
            self._skipped_bytes += len(data)
            return
        if answer.is_streaming:
            self._events.append(StreamData(data))
            return
        answer.parts.append(data)
        answer.size += len(data)
        if answer.size > MAX_BUFFERED_BYTES:
            answer.is_streaming = True
            self._events.append(StreamStarted(answer.make_answer(more=True)))
            answer.parts = []

    def on_message_complete(self) -> None:
        """The framing of the answer says that it is complete."""
        self._end_answer(Ending.FRAMING)

    def _read_head(
        self,
        answer: _PartialAnswer,
        request: answers.TargetRequest,
        fault: str,
    ) -> None:
        """Reads the head of a final answer, or of one that is no answer.

        Raises:
            AnswerError: if no answer can follow on the connection.
        """
        headers_by_name = {
            name.lower(): value for name, value in answer.headers
        }
        answer.headers = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in http.FRAMING_HEADERS
        ]
        answered_id = headers_by_name.get(self._dialect.request_id.lower())
        if fault and answered_id in (None, request.request_id):
            raise exceptions.AnswerError(fault)
        is_refusal = answered_id is None and answers.states_not_run(
            answer.status, answer.headers, self._dialect
        )
        answer.owner = find_owner(
            answered_id, request, is_refusal, self._is_reused
        )
        declared_length = _parse_content_length(headers_by_name)
        is_bodyless = request.is_head or answer.status in _BODYLESS_STATUSES
        answer.length = 0 if is_bodyless else declared_length
        is_chunked = "transfer-encoding" in headers_by_name
        is_framed = is_chunked or answer.length is not None
        answer.position = (
            Position.FRAMED_BODY if is_framed else Position.UNFRAMED_BODY
        )
        answer.keep_alive_s = _parse_keep_alive(headers_by_name)
        if request.is_head and answer.owner is Owner.OUTSTANDING:
            # The parser waits for the body that such an answer leaves out.
            self._is_reusable = self._is_reusable and declared_length == 0
            self._end_answer(Ending.FRAMING)

    def _end_answer(
        self, ending: Ending, reason: str = "", message: str = ""
    ) -> None:
        """Applies the end of the current answer to the outstanding request."""
        if self._request is None:
            return
        answer = self._answer
        outcome = decide(answer.position, answer.owner, ending)
        if outcome is Outcome.LOST:
            self._request = None
            self._events.append(Lost(reason, message))
            return
        if outcome is Outcome.SKIPPED:
            if answer.owner is Owner.OTHER:
                self._is_reusable = False
            self._answer = _PartialAnswer()
            return
        self._request = None
        self._is_reused = True
        self._due_answer = answer
        if ending is not Ending.FRAMING or not self._parser.should_keep_alive():
            self._is_reusable = False

    def _take_events(self) -> list[Event]:
        events, self._events = self._events, []
        answer, self._due_answer = self._due_answer, None
        if answer is not None:
            whole = None if answer.is_streaming else answer.make_answer(False)
            # The connection may be idle for a while, or be closed and stay
            # until the next garbage collection.
            answer.parts = []
            events.append(
                Answered(whole, self._is_reusable, answer.keep_alive_s)
            )
        return events


def _parse_content_length(headers_by_name: Mapping[str, str]) -> int | None:
    """Returns the declared length of the body, None if there is none.

    Raises:
        AnswerError: if the length is invalid.
    """
    text = headers_by_name.get("content-length", "")
    length = http.parse_length(text)
    if text and length is None:
        raise exceptions.AnswerError("invalid length of the body")
    return length


def _parse_keep_alive(headers_by_name: Mapping[str, str]) -> int | None:
    """Returns the time in a Keep-Alive header, in seconds, if it has one."""
    for part in headers_by_name.get("keep-alive", "").split(","):
        name, _, text = part.strip().partition("=")
        timeout_s = http.parse_length(text)
        if name == "timeout" and timeout_s is not None:
            return timeout_s
    return None
