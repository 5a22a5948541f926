"""Decides what the entry does after an attempt of a call has ended.

If the link was lost after the call was sent and time is left, the call is first
settled with its keeper; `outcomes` of the library `mesh` has no such step and
treats the call as one that may have run.
"""

import enum
from typing import Final

import attrs

from filbertlift_calls import codes
from filbertlift_core import model


class AttemptEnd(enum.Enum):
    """How one attempt ended.

    ANSWERED: the answer of the target arrived.
    NOT_RUN: the keeper or this node reports that it has not run and never will.
    UNKNOWN: the keeper reports that it may have run.
    LINK_LOST_UNSENT: the link was lost before any byte of the call was sent.
    LINK_LOST_SENT: the link was lost or silent after the call was sent.
    KEEPER_LOST: the settlement failed, or the keeper does not know the outcome.
    TARGET_FAILED_UNSENT: the target was lost before it was sent the call.
    TARGET_FAILED_SENT: the target was lost after it was sent the call.
    DEADLINE_UNSENT: the deadline passed before any byte was sent.
    DEADLINE_SENT: the deadline passed after the call was sent, unconfirmed.
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
        code: code received with NOT_RUN or UNKNOWN; otherwise empty.
        status: HTTP status received with ANSWERED.
        retry_after_s: time after which the target is expected to accept calls.
        retried: whether a lower level of the chain of calls has retried this
            failure, or had no budget for that.
    """

    end: AttemptEnd
    code: str = ""
    status: int = 200
    retry_after_s: float | None = None
    retried: bool = False


@attrs.frozen
class CallFacts:
    """What the entry knows about the call.

    Attributes:
        idempotent: whether it is safe to run more than once.
        keyed: whether it has an idempotency key, so that only one target may
            run it.
        may_have_run: whether the caller marked it as a repeat, or the outcome
            of an earlier or a parallel attempt is unknown.
        attempts_left: number of further attempts that the operation allows.
        has_budget: whether the retry budget of this node allows another one.
        time_left_s: time until the deadline.
    """

    idempotent: bool
    keyed: bool
    may_have_run: bool
    attempts_left: int
    has_budget: bool
    time_left_s: float


@attrs.frozen
class Answer:
    """Answer the caller; after ANSWERED, with the answer of the target."""

    outcome: model.Outcome
    code: str
    status: int
    retry_after_s: float | None = None
    retried: bool = False


@attrs.frozen
class RetryElsewhere:
    """Try another target.

    Attributes:
        code: why the attempt ended.
        costs_budget: whether the retry takes a token of the budget; False if
            the refusal caused no work, as with a target that is leaving.
        retried: whether failures of the next attempt are marked as retried.
    """

    code: str
    costs_budget: bool
    retried: bool = True


@attrs.frozen
class SettleFirst:
    """Settle the call with the same keeper over a new link before answering."""

    code: str


@attrs.frozen
class Abandon:
    """Withdraw the call from its keeper; the caller no longer waits for it."""


Decision = Answer | RetryElsewhere | SettleFirst | Abandon

# Ends that prove that the attempt did not run, with the code for the caller.
_NOT_RUN: Final = {
    AttemptEnd.LINK_LOST_UNSENT: codes.UNSENT,
    AttemptEnd.TARGET_FAILED_UNSENT: codes.TARGET_DOWN,
    AttemptEnd.DEADLINE_UNSENT: codes.EXPIRED,
}
# Ends after which the attempt may have run, with the code for the caller.
_UNKNOWN: Final = {
    AttemptEnd.LINK_LOST_SENT: codes.LINK_LOST,
    AttemptEnd.KEEPER_LOST: codes.KEEPER_LOST,
    AttemptEnd.TARGET_FAILED_SENT: codes.TARGET_LOST,
    AttemptEnd.DEADLINE_SENT: codes.TIMEOUT,
}
# Codes that are not retried: another target would not answer differently, or no
# time is left.
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
# Codes of refusals that caused no work; retrying them takes no budget. In a
# service with four targets, one that leaves refuses a quarter of the calls, far
# more than the budget's share.
_BUDGET_EXEMPT: Final = frozenset(
    (codes.LEAVING, codes.DRAINING, codes.UNSENT, codes.STALE_ROUTE)
)
# Codes of refusals by a keeper that held the id, so no attempt has run.
_CONFIRMED: Final = frozenset(
    (
        codes.WITHDRAWN,
        codes.KEY_REUSED,
        codes.QUEUE_FULL,
        codes.WAIT,
        codes.DRAINING,
        codes.EXPIRED,
        codes.TARGET_DOWN,
    )
)
# Codes that refuse the request itself, regardless of earlier attempts.
_REQUEST_REFUSED: Final = frozenset(
    (codes.DENIED, codes.UNKNOWN_SERVICE, codes.TOO_DEEP)
)


def may_have_run(attempt: Attempt) -> bool:
    """Returns whether an attempt with this end may have run."""
    return attempt.end in _UNKNOWN or attempt.end is AttemptEnd.UNKNOWN


def decide(attempt: Attempt, call: CallFacts) -> Decision:
    """Returns what the entry does after an attempt has ended."""
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
    ran = may_have_run(attempt)
    if _may_retry(attempt, call, code, ran):
        return RetryElsewhere(code, code not in _BUDGET_EXEMPT)
    if ran:
        return _answer_unknown(code)
    return _answer_not_run(attempt, call, code)


def _may_retry(attempt: Attempt, call: CallFacts, code: str, ran: bool) -> bool:
    if attempt.retried or call.keyed or code in _FINAL:
        return False
    if ran and not call.idempotent:
        return False
    if call.attempts_left <= 0 or call.time_left_s <= 0:
        return False
    return call.has_budget or (code in _BUDGET_EXEMPT and not ran)


def _answer_unknown(code: str) -> Answer:
    status = codes.get_status(code)
    return Answer(
        model.Outcome.UNKNOWN,
        code,
        status if status in (502, 504) else 502,
        retried=True,
    )


def _answer_not_run(attempt: Attempt, call: CallFacts, code: str) -> Answer:
    """Answers UNKNOWN if another attempt may have run, otherwise NOT_RUN."""
    confirmed = code in _CONFIRMED and call.keyed and not call.idempotent
    is_proven = confirmed and attempt.end is AttemptEnd.NOT_RUN
    if call.may_have_run and not (is_proven or code in _REQUEST_REFUSED):
        return _answer_unknown(code)
    return Answer(
        model.Outcome.NOT_RUN,
        code,
        codes.get_status(code),
        attempt.retry_after_s,
        retried=True,
    )
