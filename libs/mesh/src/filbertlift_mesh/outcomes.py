"""Next step of a call after the end of one attempt.

A caller is told that its call has not run only when that is certain: the node
on the target's host says so, or the call never left this node.

Unlike `filbertlift_calls.outcomes`, it can't ask a keeper what became of a call
whose link was lost.
"""

import enum
import random
from typing import Final

import attrs

from filbertlift_mesh import backlog
from filbertlift_mesh import configuration

# Refused attempts after which a call is refused; each costs a round trip to
# another host.
MAX_REFUSALS: Final = 6
# Time that another attempt needs at least, in seconds.
MIN_ATTEMPT_TIME_S: Final = 0.02
# Shortest retry time that a refused caller is told, in seconds.
MIN_RETRY_AFTER_S: Final = 0.05
# Share of the time left within which a caller should return; callers ignore
# much longer times.
MAX_RETURN_SHARE: Final = 0.3
# Longest time that is added to the wait for a slot, in seconds.
MAX_RETURN_S: Final = 2.0
# Share of refused calls up to which callers return as soon as a slot is
# expected, since they may still be answered in time.
LIGHT_SHARE: Final = 0.1
# Share of refused calls from which on returns are put off as far as possible.
HEAVY_SHARE: Final = 0.4
# Part of that time over which returns are spread.
RETURN_SPREAD: Final = 0.4


class AttemptEnd(enum.IntEnum):
    """How one attempt ended.

    ANSWERED: the target's answer is complete.
    NOT_RUN: the call never reached a target and will not run.
    FAILED: the target answered with a failure.
    BROKEN: the target or its answer was lost; the call may have run.
    SHED: the call reached a target, which rejected it without running it.
    """

    ANSWERED = 0
    NOT_RUN = 1
    FAILED = 2
    BROKEN = 3
    SHED = 4


class Step(enum.Enum):
    """What to do with a call after an attempt.

    RELAY: pass the target's answer on to the caller.
    TRY_ELSEWHERE: make another attempt, which needs no budget.
    REPEAT: make another attempt if the budget of repeats allows it.
    REFUSE: tell the caller that the call has not run.
    FAIL: tell the caller that the call may have run.
    """

    RELAY = enum.auto()
    TRY_ELSEWHERE = enum.auto()
    REPEAT = enum.auto()
    REFUSE = enum.auto()
    FAIL = enum.auto()


@attrs.frozen
class CallProgress:
    """State of a call at its entry.

    Attributes:
        route: route of the call.
        sent: attempts that may have reached a target.
        refusals: attempts that have certainly not run.
        left_s: time until the caller is answered in any case, in seconds.
        run_s: time that a target needs for the call, in seconds; 0 if unknown.
    """

    route: configuration.Route
    sent: int
    refusals: int
    left_s: float
    run_s: float = 0.0


def decide_step(end: AttemptEnd, progress: CallProgress) -> Step:
    """Returns the step that follows the end of an attempt.

    `REPEAT` needs budget, because the budget of repeats counts the arrivals at
    targets. Without budget the caller is told the end of this attempt, see
    `decide_without_repeat`.
    """
    if end is AttemptEnd.ANSWERED:
        return Step.RELAY
    # About half of the calls take less than half of the mean service time or
    # little more; later there is hardly any chance of an answer.
    needed_s = max(MIN_ATTEMPT_TIME_S, progress.run_s / 2)
    has_time = progress.left_s > needed_s
    if end in (AttemptEnd.NOT_RUN, AttemptEnd.SHED):
        if not has_time or progress.refusals >= MAX_REFUSALS:
            return Step.REFUSE
        return Step.REPEAT if end is AttemptEnd.SHED else Step.TRY_ELSEWHERE
    may_repeat = (
        progress.route.is_idempotent
        and has_time
        and progress.sent < progress.route.max_attempts
    )
    if may_repeat:
        return Step.REPEAT
    return decide_without_repeat(end)


def decide_without_repeat(end: AttemptEnd) -> Step:
    """Returns the step when the budget allows no repeat."""
    if end is AttemptEnd.SHED:
        return Step.REFUSE
    return Step.RELAY if end is AttemptEnd.FAILED else Step.FAIL


def spread_retry(
    wait_s: float, left_s: float, refused_share: float, rng: random.Random
) -> float:
    """Returns when a refused caller should return, in seconds.

    Callers return once the refused ones before them can be served as well: the
    more calls are refused, the later. Returns are spread, so that they do not
    come at once.

    Args:
        wait_s: expected time until a slot is free, in seconds.
        left_s: time that the caller has left, in seconds.
        refused_share: share of the recent calls that were refused.
        rng: source of the spread.
    """
    latest_s = min(MAX_RETURN_SHARE * left_s, MAX_RETURN_S)
    earliest_s = min(wait_s, latest_s)
    if refused_share <= LIGHT_SHARE:
        return earliest_s
    beyond = (refused_share - LIGHT_SHARE) / (HEAVY_SHARE - LIGHT_SHARE)
    pressure = min(1.0, beyond)
    spread = pressure * (1.0 - RETURN_SPREAD * rng.random())
    return earliest_s + spread * (latest_s - earliest_s)


def make_retry_after(wait_s: float) -> float:
    """Returns the retry time that a refused caller is told, in seconds."""
    return min(
        backlog.MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, round(wait_s, 2))
    )
