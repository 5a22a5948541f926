"""What follows from the end of one attempt, and what a caller is told.

A caller hears that its call has not run only when that is certain: the node
beside the target says so, or the call never left this node.
"""

import enum
from typing import Final

import attrs

from filbertlift_mesh import backlog
from filbertlift_mesh import configuration

# Refused attempts at most for one call; each costs a way to another host.
MAX_REFUSALS: Final = 6
# Less time than this is not enough for another attempt, in seconds.
LEAST_TIME_S: Final = 0.02
# A caller is not told to come back sooner, in seconds.
LEAST_RETRY_AFTER_S: Final = 0.05


class AttemptEnd(enum.IntEnum):
    """How one attempt ended.

    ANSWERED: the target's complete answer is there.
    NOT_RUN: the call has not run and never will; no target saw it.
    SHED: the same, by the word of a target that it arrived at.
    FAILED: the target answered with a failure of its own.
    BROKEN: the target or its answer was lost; the call may have run.
    """

    ANSWERED = 0
    NOT_RUN = 1
    FAILED = 2
    BROKEN = 3
    SHED = 4


class Step(enum.Enum):
    """What to do with a call after an attempt."""

    RELAY = enum.auto()
    TRY_ELSEWHERE = enum.auto()
    REPEAT = enum.auto()
    REFUSE = enum.auto()
    FAIL = enum.auto()


@attrs.frozen
class CallProgress:
    """What the entry knows of a call.

    Attributes:
        route: its route.
        sent: attempts that may have reached a target.
        refusals: attempts that have certainly not run.
        left_s: time until the caller is answered in any case, in seconds.
    """

    route: configuration.Route
    sent: int
    refusals: int
    left_s: float


def decide_step(end: AttemptEnd, progress: CallProgress) -> Step:
    """Returns what follows from the end of an attempt.

    `REPEAT` may be carried out only within the budget of repeats, which counts
    arrivals at targets; without it the attempt's own end is what the caller is
    told.
    """
    if end is AttemptEnd.ANSWERED:
        return Step.RELAY
    has_time = progress.left_s > LEAST_TIME_S
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
    """Returns what a caller is told when the call is not repeated."""
    if end is AttemptEnd.SHED:
        return Step.REFUSE
    return Step.RELAY if end is AttemptEnd.FAILED else Step.FAIL


def make_retry_after(wait_s: float) -> float:
    """Returns the time to tell a refused caller, in seconds."""
    return min(
        backlog.MAX_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, round(wait_s, 2))
    )
