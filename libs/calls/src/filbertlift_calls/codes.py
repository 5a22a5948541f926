"""Codes in answers to callers, with their HTTP status and description."""

from typing import Final

import attrs


@attrs.frozen
class CodeEntry:
    """HTTP status and description of a code.

    Attributes:
        status: HTTP status of an answer that carries the code.
        text: description in one sentence.
    """

    status: int
    text: str


DONE: Final = "FL-CALL-DONE"
NOT_KEPT: Final = "FL-CALL-NOT-KEPT"
KEEPER_FULL: Final = "FL-CALL-KEEPER-FULL"
KEY_REUSED: Final = "FL-CALL-KEY-REUSED"
ABSENT: Final = "FL-CALL-ABSENT"
WITHDRAWN: Final = "FL-CALL-WITHDRAWN"
INCARNATION: Final = "FL-CALL-INCARNATION"
KEEPER_LOST: Final = "FL-CALL-KEEPER-LOST"
QUEUE_FULL: Final = "FL-CALL-QUEUE-FULL"
WAIT: Final = "FL-CALL-WAIT"
DRAINING: Final = "FL-CALL-DRAINING"
LEAVING: Final = "FL-CALL-LEAVING"
NOT_READY: Final = "FL-CALL-NOT-READY"
STALE_ROUTE: Final = "FL-CALL-STALE-ROUTE"
STALE_VERSION: Final = "FL-CALL-STALE-VERSION"
NO_TARGET: Final = "FL-CALL-NO-TARGET"
LINK_BUDGET: Final = "FL-CALL-LINK-BUDGET"
UNSENT: Final = "FL-CALL-UNSENT"
TARGET_DOWN: Final = "FL-CALL-TARGET-DOWN"
TARGET_LOST: Final = "FL-CALL-TARGET-LOST"
LINK_LOST: Final = "FL-CALL-LINK-LOST"
EXPIRED: Final = "FL-CALL-EXPIRED"
TIMEOUT: Final = "FL-CALL-TIMEOUT"
DENIED: Final = "FL-CALL-DENIED"
UNKNOWN_SERVICE: Final = "FL-CALL-UNKNOWN-SERVICE"
TOO_DEEP: Final = "FL-CALL-TOO-DEEP"

CODES: Final[dict[str, CodeEntry]] = {
    DONE: CodeEntry(200, "The target answered; its own status is passed on."),
    NOT_KEPT: CodeEntry(
        502, "The call ran, but its answer was too large or too old to keep."
    ),
    KEEPER_FULL: CodeEntry(
        503, "Not run: the keeper holds as many call ids as it may."
    ),
    KEY_REUSED: CodeEntry(
        422, "Not run: the idempotency key belongs to a different request."
    ),
    ABSENT: CodeEntry(503, "Not run: the call never reached its keeper."),
    WITHDRAWN: CodeEntry(
        503, "Not run: the call was withdrawn before it started."
    ),
    INCARNATION: CodeEntry(
        503, "Not run: the keeper restarted before the call reached it."
    ),
    KEEPER_LOST: CodeEntry(
        502, "Unknown: the keeper that could tell whether the call ran is lost."
    ),
    QUEUE_FULL: CodeEntry(429, "Not run: the queue of the target is full."),
    WAIT: CodeEntry(
        429, "Not run: the expected wait exceeds what is left of the deadline."
    ),
    DRAINING: CodeEntry(503, "Not run: the target is draining."),
    LEAVING: CodeEntry(503, "Not run: the node is leaving."),
    NOT_READY: CodeEntry(
        503, "Not run: the node has no confirmed configuration yet."
    ),
    STALE_ROUTE: CodeEntry(
        503, "Not run: a newer configuration routes the call elsewhere."
    ),
    STALE_VERSION: CodeEntry(
        503, "Not run: the configuration is older than the route allows."
    ),
    NO_TARGET: CodeEntry(503, "Not run: the service has no usable target."),
    LINK_BUDGET: CodeEntry(
        503, "Not run: the byte budget between regions is used up."
    ),
    UNSENT: CodeEntry(
        503, "Not run: the link was lost before the call was sent."
    ),
    TARGET_DOWN: CodeEntry(
        503, "Not run: the target was lost before it was sent the call."
    ),
    TARGET_LOST: CodeEntry(
        502, "Unknown: the target was lost after it was sent the call."
    ),
    LINK_LOST: CodeEntry(
        502, "Unknown: the link was lost after the call was sent."
    ),
    EXPIRED: CodeEntry(503, "Not run: the deadline passed before the start."),
    TIMEOUT: CodeEntry(
        504, "Unknown: the deadline passed before an answer arrived."
    ),
    DENIED: CodeEntry(403, "Not run: the caller may not call the service."),
    UNKNOWN_SERVICE: CodeEntry(404, "Not run: no service has this name."),
    TOO_DEEP: CodeEntry(
        503, "Not run: the chain of calls is deeper than allowed."
    ),
}


def get_status(code: str) -> int:
    """Returns the HTTP status of a code; 503 if the code is not known."""
    entry = CODES.get(code)
    return entry.status if entry is not None else 503
