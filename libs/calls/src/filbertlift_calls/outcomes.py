"""What follows from the end of one attempt of a call at its entry node."""

import enum
from typing import Final

import attrs

from filbertlift_calls import codes
from filbertlift_core import model


class AttemptEnd(enum.Enum):
    """How one attempt ended.

    ANSWERED: the answer of the target arrived.
    NOT_RUN: the keeper, or this node, says that it has not run and never will.
    UNKNOWN: the keeper says that it may have run.
    LINK_LOST_UNSENT: the link was lost before any byte of the call was sent.
    LINK_LOST_SENT: the link was lost or silent after that.
    KEEPER_LOST: the settlement failed, or the keeper could not tell.
    TARGET_FAILED_UNSENT: the target was lost before it was sent the call.
    TARGET_FAILED_SENT: the target was lost after that.
    DEADLINE_UNSENT: the deadline passed before any byte was sent.
    DEADLINE_SENT: the deadline passed after that, with no confirmation.
    CALLER_GONE: the caller closed its connection.
    """

    ANSWERED = enum.auto()
    NOT_RUN = enum.auto()
    UNKNOWN = enum.auto()
    LINK_LOST_UNSENT = enum.auto()
    LINK_LOST_SENT = enum.auto()
    KEEPER_LOST = enum.auto()
    TARGET_FAILED_UNSENT = enum.auto()
    TARGET_FAILED_SENT = enum.auto()
    DEADLINE_UNSENT = enum.auto()
    DEADLINE_SENT = enum.auto()
    CALLER_GONE = enum.auto()


@attrs.frozen
class Attempt:
    """The end of one attempt.

    Attributes:
        end: how it ended.
        code: code that came with NOT_RUN or UNKNOWN; else empty.
        status: HTTP status that came with ANSWERED.
        retry_after_s: when the answerer expects to have room.
        retried: a level below has retried this failure, or had no budget.
    """

    end: AttemptEnd
    code: str = ""
    status: int = 200
    retry_after_s: float | None = None
    retried: bool = False


@attrs.frozen
class CallFacts:
    """What the entry knows of the call.

    Attributes:
        idempotent: whether running it twice does no harm.
        keyed: it has an idempotency key, so only one target may run it.
        may_have_run: the caller marked it as a repeat, or the outcome of an
            earlier or a parallel attempt is unknown.
        attempts_left: further attempts that the operation allows.
        has_budget: the retry budget of this node allows one more.
        time_left_s: seconds to the deadline.
    """

    idempotent: bool
    keyed: bool
    may_have_run: bool
    attempts_left: int
    has_budget: bool
    time_left_s: float


@attrs.frozen
class Answer:
    """Answer the caller now; with ANSWERED, pass on the target's answer."""

    outcome: model.Outcome
    code: str
    status: int
    retry_after_s: float | None = None
    retried: bool = False


@attrs.frozen
class RetryElsewhere:
    """Try another target; take one token of the budget when `costs_budget`.

    Attributes:
        code: why the attempt ended.
        costs_budget: False when the refusal cost nothing, as with a target
            that is leaving.
        retried: mark of the next attempt's failures.
    """

    code: str
    costs_budget: bool
    retried: bool = True


@attrs.frozen
class SettleFirst:
    """Ask the same keeper over a new link before anything is told."""

    code: str


@attrs.frozen
class Abandon:
    """Nobody waits for the answer; withdraw the call where it was sent."""


Decision = Answer | RetryElsewhere | SettleFirst | Abandon

# Ends after which the call has certainly not run, with the code they imply.
_NOT_RUN: Final = {
    AttemptEnd.LINK_LOST_UNSENT: codes.UNSENT,
    AttemptEnd.TARGET_FAILED_UNSENT: codes.TARGET_DOWN,
    AttemptEnd.DEADLINE_UNSENT: codes.EXPIRED,
}
# Ends after which it may have run.
_UNKNOWN: Final = {
    AttemptEnd.LINK_LOST_SENT: codes.LINK_LOST,
    AttemptEnd.KEEPER_LOST: codes.KEEPER_LOST,
    AttemptEnd.TARGET_FAILED_SENT: codes.TARGET_LOST,
    AttemptEnd.DEADLINE_SENT: codes.TIMEOUT,
}
# No other target would answer differently, or no time is left for one.
_FINAL: Final = frozenset(
    (
        codes.DENIED,
        codes.UNKNOWN_SERVICE,
        codes.TOO_DEEP,
        codes.KEY_REUSED,
        codes.EXPIRED,
        codes.TIMEOUT,
        codes.NO_TARGET,
        codes.LINK_BUDGET,
        codes.STALE_VERSION,
    )
)
# Refusals that cost their sender no work. A leaving target refuses a quarter
# of the calls of a service with four, far more than the budget's share.
_FREE: Final = frozenset(
    (codes.LEAVING, codes.DRAINING, codes.UNSENT, codes.STALE_ROUTE)
)
# The keeper held the id when it refused, so no attempt of it has run.
_CONFIRMED: Final = frozenset(
    (
        codes.WITHDRAWN,
        codes.QUEUE_FULL,
        codes.WAIT,
        codes.DRAINING,
        codes.EXPIRED,
        codes.TARGET_DOWN,
    )
)
# The request itself is refused, whatever became of an earlier one.
_REQUEST_REFUSED: Final = frozenset(
    (codes.DENIED, codes.UNKNOWN_SERVICE, codes.TOO_DEEP, codes.KEY_REUSED)
)


def decide(attempt: Attempt, call: CallFacts) -> Decision:
    """Returns what the entry does after an attempt ended."""
    if attempt.end is AttemptEnd.CALLER_GONE:
        return Abandon()
    if attempt.end is AttemptEnd.ANSWERED:
        return Answer(
            model.Outcome.DONE,
            codes.DONE,
            attempt.status,
            retried=attempt.retried,
        )
    if attempt.end is AttemptEnd.LINK_LOST_SENT and call.time_left_s > 0:
        return SettleFirst(codes.LINK_LOST)
    code = _NOT_RUN.get(attempt.end) or _UNKNOWN.get(attempt.end)
    code = code or attempt.code
    ran = attempt.end in _UNKNOWN or attempt.end is AttemptEnd.UNKNOWN
    if _may_retry(attempt, call, code, ran):
        return RetryElsewhere(code, code not in _FREE)
    if ran:
        return _tell_unknown(code)
    return _tell_not_run(attempt, call, code)


def _may_retry(attempt: Attempt, call: CallFacts, code: str, ran: bool) -> bool:
    if attempt.retried or call.keyed or code in _FINAL:
        return False
    if ran and not call.idempotent:
        return False
    if call.attempts_left <= 0 or call.time_left_s <= 0:
        return False
    return call.has_budget or (code in _FREE and not ran)


def _tell_unknown(code: str) -> Answer:
    status = codes.get_status(code)
    return Answer(
        model.Outcome.UNKNOWN,
        code,
        status if status in (502, 504) else 502,
        retried=True,
    )


def _tell_not_run(attempt: Attempt, call: CallFacts, code: str) -> Answer:
    """Says "not run" only when no other attempt of the call can have run."""
    confirmed = code in _CONFIRMED and call.keyed and not call.idempotent
    excused = confirmed and attempt.end is AttemptEnd.NOT_RUN
    if call.may_have_run and not (excused or code in _REQUEST_REFUSED):
        return _tell_unknown(code)
    return Answer(
        model.Outcome.NOT_RUN,
        code,
        codes.get_status(code),
        attempt.retry_after_s,
        retried=True,
    )
