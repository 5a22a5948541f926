"""Requests to the target, its answers, and which request an answer is for.

A target may write an answer or a refusal once more, at the place where that to
the next request is due. So an answer counts only if it carries the id of the
outstanding request.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from filbertlift_sidecar import exceptions
from filbertlift_sidecar import frames
from filbertlift_transport import http

_BODYLESS_STATUSES: Final = (204, 304)


@attrs.frozen
class TargetDialect:
    """Names of the headers that targets use, and the status of a wrong target.

    Attributes:
        request_id: id of a request, repeated in its answer.
        signature: present in an answer that the target itself made.
        not_run: present in an answer to a request that has not run.
        instance: id of the target that a request is meant for.
        deadline: milliseconds that the caller still waits.
        caller: service of the host from which the call comes.
        retry_after: seconds after which a refused caller may retry.
        misdirected_status: status with which a target answers a request that
            is meant for another one.
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
    """Head of an answer and the buffered part of its body.

    Attributes:
        status: HTTP status.
        headers: headers without those of framing.
        body: the body or its first part.
        length: length of the whole body in bytes, None if unknown.
        more: whether more of the body follows.
    """

    status: int
    headers: frames.Headers
    body: bytes
    length: int | None
    more: bool


@attrs.frozen
class TargetRequest:
    """An encoded request.

    Attributes:
        request_id: id that the answer must carry.
        data: encoded head, and a small body.
        is_head: whether this is a HEAD request, whose answer has no body.
        needs_fresh: whether it needs a new or recently used connection.
        body: a large body, which is written in parts.
    """

    request_id: str
    data: bytes
    is_head: bool
    needs_fresh: bool
    body: bytes = b""


@attrs.define(eq=False)
class AnswerState:
    """Parse state of the current answer of a connection.

    Attributes:
        has_head: whether the head is complete.
        status: HTTP status.
        headers: headers, without those of framing once the head is complete.
        head_bytes: size of the headers.
        length: length of the body in bytes, None if the answer declares none.
        is_close_delimited: whether the end of the connection ends the body.
        is_mismatched: whether the answer belongs to another request than the
            outstanding one.
        is_streaming: whether the head was reported before the end.
        parts: the buffered parts of the body.
        size: number of bytes in `parts`.
    """

    has_head: bool = False
    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    head_bytes: int = 0
    length: int | None = None
    is_close_delimited: bool = False
    is_mismatched: bool = False
    is_streaming: bool = False
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def process_headers(
        self,
        dialect: TargetDialect,
        request: TargetRequest | None,
        is_reused: bool,
    ) -> dict[str, str]:
        """Reads the headers of framing and removes them from `headers`.

        Args:
            dialect: names of the headers.
            request: the outstanding request, if there is one.
            is_reused: whether the connection carried an earlier request.

        Returns:
            All headers by lower-case name.

        Raises:
            AnswerError: if the length of the body is invalid.
        """
        headers_by_name = {name.lower(): value for name, value in self.headers}
        self.headers = [
            (name, value)
            for name, value in self.headers
            if name.lower() not in http.FRAMING_HEADERS
        ]
        text = headers_by_name.get("content-length", "")
        self.length = http.parse_length(text)
        if text and self.length is None:
            raise exceptions.AnswerError("invalid length of the body")
        is_bodyless = self.status in _BODYLESS_STATUSES
        if request is not None:
            is_bodyless = is_bodyless or request.is_head
            self.is_mismatched = self._has_other_id(
                headers_by_name, dialect, request, is_reused
            )
        if is_bodyless:
            self.length = 0
        self.is_close_delimited = (
            self.length is None and "transfer-encoding" not in headers_by_name
        )
        return headers_by_name

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection completes the due answer."""
        return (
            self.has_head and self.is_close_delimited and not self.is_mismatched
        )

    def is_refusal(self, dialect: TargetDialect) -> bool:
        """Returns whether the target says that it did not run the request."""
        return _is_refusal(self.status, self.headers, dialect)

    def _has_other_id(
        self,
        headers_by_name: dict[str, str],
        dialect: TargetDialect,
        request: TargetRequest,
        is_reused: bool,
    ) -> bool:
        answered_id = headers_by_name.get(dialect.request_id.lower())
        if answered_id is not None:
            return answered_id != request.request_id
        if not request.request_id:
            return False
        # A refusal may come without an id. On a reused connection it may be
        # that of an earlier request, written once more, while the outstanding
        # one runs.
        return is_reused or not self.is_refusal(dialect)


def is_refusal(answer: TargetAnswer, dialect: TargetDialect) -> bool:
    """Returns whether an answer says that the request has not run."""
    return _is_refusal(answer.status, answer.headers, dialect)


def _is_refusal(
    status: int, headers: Iterable[tuple[str, str]], dialect: TargetDialect
) -> bool:
    if status == dialect.misdirected_status:
        return True
    name = dialect.not_run.lower()
    # A success that also says it has not run is contradictory.
    return status >= 400 and any(key.lower() == name for key, _value in headers)
