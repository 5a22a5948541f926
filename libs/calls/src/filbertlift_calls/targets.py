"""The state that an entry keeps for one target."""

import enum
from typing import Final

import attrs

from filbertlift_core import model

# Duration of the first ejection of a target, in seconds.
MIN_EJECT_S: Final = 0.3
_NEVER: Final = float("-inf")


class Tier(enum.IntEnum):
    """Distance of a target from this node; the nearest tier is tried first."""

    DATA_CENTRE = 0
    REGION = 1
    ELSEWHERE = 2


@attrs.frozen
class Target:
    """A target as listed in the member table, by the address of its node."""

    address: model.Address
    incarnation: int
    place: model.Place


@attrs.define(eq=False)
class TargetView:
    """State of one target at this node.

    Short calls are those that are not LONG. Times are in seconds.

    Attributes:
        target: address, incarnation and place.
        tier: distance from this node.
        seed: hash of the address, for the ranking by key.
        born: time when it was first listed; minus infinity if it was listed in
            the first update.
        in_flight: number of calls sent from this node that have not ended.
        short_in_flight: number of short calls among them.
        queue: number of waiting calls in its last report.
        queue_at: time of this report.
        latency_s: average latency of short calls.
        samples: number of latencies measured.
        measured_at: time of the last measurement.
        slow_since: time when it became slow; None if it is not slow.
        silent_since: time when a short call last ended, or was sent while no
            other one was in flight.
        penalty: factor of the score after failures.
        penalty_until: time when the penalty ends.
        failures: number of failures since the last answer.
        ejected_until: time when it may be probed; None if it is not ejected.
        eject_s: duration of the next ejection.
        probing: whether a probe is in flight.
        is_removed: whether it is no longer listed; answers may still arrive.
    """

    target: Target
    tier: Tier
    seed: int
    born: float
    in_flight: int = 0
    short_in_flight: int = 0
    queue: int = 0
    queue_at: float = _NEVER
    latency_s: float = 0.0
    samples: int = 0
    measured_at: float = _NEVER
    slow_since: float | None = None
    silent_since: float = _NEVER
    penalty: float = 1.0
    penalty_until: float = _NEVER
    failures: int = 0
    ejected_until: float | None = None
    eject_s: float = MIN_EJECT_S
    probing: bool = False
    is_removed: bool = False


@attrs.frozen
class LostTarget:
    """A target that is no longer listed.

    Attributes:
        seed: hash of the address, for the ranking by key.
        since: time when it was removed, in seconds.
    """

    seed: int
    since: float
