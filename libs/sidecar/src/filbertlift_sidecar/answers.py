"""Requests to the target, and its answers."""

from collections.abc import Iterable

import attrs

from filbertlift_sidecar import frames


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
        tenant: organisation of the caller, empty if there is no such header.
        api_key: key with which the caller identifies itself, likewise.
    """

    request_id: str
    signature: str
    not_run: str
    instance: str
    deadline: str
    caller: str
    retry_after: str = "Retry-After"
    misdirected_status: int = 421
    tenant: str = ""
    api_key: str = ""


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


def is_refusal(answer: TargetAnswer, dialect: TargetDialect) -> bool:
    """Returns whether an answer says that the request has not run."""
    return states_not_run(answer.status, answer.headers, dialect)


def states_not_run(
    status: int, headers: Iterable[tuple[str, str]], dialect: TargetDialect
) -> bool:
    """Returns whether the head of an answer says that nothing has run."""
    if status == dialect.misdirected_status:
        return True
    name = dialect.not_run.lower()
    # A success that also says it has not run is contradictory.
    return status >= 400 and any(key.lower() == name for key, _value in headers)
