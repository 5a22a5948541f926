"""One target as an entry node sees it."""

import enum
from typing import Final

import attrs

from filbertlift_core import model

# First time that a target is left out, in seconds.
EJECT_S: Final = 0.3
_NEVER: Final = float("-inf")


class Tier(enum.IntEnum):
    """Distance of a target from this node; the nearest is tried first."""

    DATA_CENTRE = 0
    REGION = 1
    ELSEWHERE = 2


@attrs.frozen
class Target:
    """A target as the member table lists it, by the address of its node."""

    address: model.Address
    incarnation: int
    place: model.Place


@attrs.define(eq=False)
class TargetView:
    """One target as this node sees it.

    Attributes:
        target: address, incarnation and place.
        tier: distance from here.
        seed: number for the ranking of keys.
        born: when it appeared, in seconds; minus infinity for one that was
            there when this node started.
        in_flight: calls sent from here and not ended.
        short_in_flight: those of them that are not LONG.
        queue: waiting calls that it reported last.
        queue_at: when it reported them.
        latency_s: average time of short calls.
        samples: how many were measured.
        measured_at: when the last one was.
        slow_since: when it became slow, or None.
        heard: when a short call ended, or the first of those in flight went.
        penalty: factor of the score after failures.
        penalty_until: when the penalty ends.
        failures: failures since the last answer.
        ejected_until: when it may be probed; None while it takes part.
        eject_s: how long the next ejection lasts.
        probing: whether a probe is out.
        vanished: it is no longer listed; answers may still come.
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
    heard: float = _NEVER
    penalty: float = 1.0
    penalty_until: float = _NEVER
    failures: int = 0
    ejected_until: float | None = None
    eject_s: float = EJECT_S
    probing: bool = False
    vanished: bool = False


@attrs.frozen
class LostTarget:
    """A target that vanished.

    Attributes:
        seed: number for the ranking of keys.
        since: when it vanished, in seconds.
    """

    seed: int
    since: float
