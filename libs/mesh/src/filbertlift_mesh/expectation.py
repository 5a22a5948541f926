"""Expected time to an answer at each target, from learned speeds and room.

Every answer carries the service time that the target's node has learned for
the class, and the calls there, in which slots that may not be used are counted.
Both values have an age and fade to the median of the service: a target that was
slow or full is chosen again without extra probes, and one that was empty long
ago is not taken for empty.

A few targets are compared for each call, the near ones first. They are drawn
from lists in random order, so the cost of a choice does not grow with the
number of targets, and nodes that learn the same at the same moment compare
different targets.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import random
import statistics
from typing import TYPE_CHECKING
from typing import Final

import attrs

from filbertlift_mesh import backlog

if TYPE_CHECKING:
    from filbertlift_mesh import placement

# Half-lives of a reported service time and of a reported load, in seconds. The
# load changes with every call.
TIME_HALF_LIFE_S: Final = 5.0
LOAD_HALF_LIFE_S: Final = 1.0
# Time for which the medians of a service are used, and the targets they are
# taken from at most.
NORM_AGE_S: Final = 0.5
MAX_NORM_VIEWS: Final = 32
# Targets compared by distance, from this data centre outwards. Places that a
# distance cannot fill are filled from the next ones. Other regions are compared
# only then, since the bytes of a call cost most between regions.
COMPARED: Final = (4, 2, 0)
# The same for a call that found a target full, which is worth a longer way.
COMPARED_AGAIN: Final = (3, 5, 0)
# Exponent of the share of busy slots in the expected wait while some are free;
# reports are never quite current.
CROWD_EXPONENT: Final = 4
# Random part of a cost.
SPREAD: Final = 0.15
# Share by which a target in another data centre or region has to cost less, by
# distance; less is within the random part and the error of the estimates.
MIN_GAIN: Final = (0.0, 0.0, SPREAD, 2 * SPREAD)


@attrs.frozen
class Norm:
    """Medians of the targets of a service.

    Attributes:
        time_s: service time of the class, in seconds; None if unknown.
        load: calls at a target as a share of its slots.
        until: when they are taken again, in seconds.
    """

    time_s: float | None
    load: float
    until: float


@attrs.define(eq=False)
class Expectation:
    """Choice of targets by their expected time to an answer.

    Attributes:
        rng: source of samples and of the random part of costs.
        rings: targets by service and distance, from near to far: this data
            centre, this region, other regions; in random order.
        norms: medians by service and class.
    """

    rng: random.Random
    rings: dict[str, tuple[list["placement.TargetView"], ...]] = attrs.field(
        factory=dict
    )
    norms: dict[tuple[str, str], Norm] = attrs.field(factory=dict)

    def update(self, places: "placement.Placement") -> None:
        """Drops the lists of targets, whose placement has changed."""
        self.rings = {}
        self.norms = {
            key: norm
            for key, norm in self.norms.items()
            if key[0] in places.views
        }

    def choose(
        self,
        places: "placement.Placement",
        criteria: "placement.Criteria",
        now: float,
    ) -> "placement.TargetView | None":
        """Returns the target with the lowest cost; None if there is none."""
        best: placement.TargetView | None = None
        best_cost = float("inf")
        for view in self.list_candidates(places, criteria, now):
            cost = places.estimate_cost(view, criteria, now)
            margin = get_margin(view, criteria)
            cost *= 1.0 + margin + SPREAD * self.rng.random()
            if cost < best_cost:
                best, best_cost = view, cost
        return best

    def list_candidates(
        self,
        places: "placement.Placement",
        criteria: "placement.Criteria",
        now: float,
    ) -> list["placement.TargetView"]:
        """Returns the targets that are compared for a call."""
        allowed = places.list_allowed(criteria, now)
        full = places.list_full(criteria, allowed, now)
        if criteria.only_full and full:
            return full
        rings = (
            self._get_rings(places, criteria.service)
            if allowed is None
            else _group_by_distance(allowed)
        )
        listed = self._sample(places, rings, criteria, now)
        if not listed and not full:
            # If all hosts are avoided, one of them is tried anyway.
            return places.list_all(criteria, allowed, now)
        return full + listed

    def estimate_parts(
        self,
        places: "placement.Placement",
        view: "placement.TargetView",
        criteria: "placement.Criteria",
        now: float,
    ) -> tuple[float, float]:
        """Returns the expected wait and service time, in seconds."""
        norm = self._get_norm(places, criteria, now)
        time_s = estimate_time(view, criteria.work_class, norm, now)
        return estimate_wait(view, time_s, norm, now), time_s

    def estimate_busy(
        self,
        places: "placement.Placement",
        view: "placement.TargetView",
        criteria: "placement.Criteria",
        now: float,
    ) -> float:
        """Returns the expected number of calls that run or wait there."""
        norm = self._get_norm(places, criteria, now)
        return estimate_busy(view, norm, now)

    def _sample(
        self,
        places: "placement.Placement",
        rings: Sequence[list["placement.TargetView"]],
        criteria: "placement.Criteria",
        now: float,
    ) -> list["placement.TargetView"]:
        """Returns some targets that may be chosen, near ones first."""
        found: list[placement.TargetView] = []
        wanted = 0
        counts = COMPARED_AGAIN if criteria.full else COMPARED
        for ring, count in zip(rings, counts, strict=False):
            wanted += count
            if not ring:
                continue
            start = int(self.rng.random() * len(ring))
            for index in range(start, start + len(ring)):
                if len(found) >= wanted:
                    break
                view = ring[index % len(ring)]
                if places.may_choose(view, criteria, now):
                    found.append(view)
        return found

    def _get_rings(
        self, places: "placement.Placement", service: str
    ) -> tuple[list["placement.TargetView"], ...]:
        """Returns the lists of a service, made when first asked for."""
        rings = self.rings.get(service)
        if rings is None:
            rings = _group_by_distance(places.views.get(service, {}).values())
            for ring in rings:
                self.rng.shuffle(ring)
            self.rings[service] = rings
        return rings

    def _get_norm(
        self,
        places: "placement.Placement",
        criteria: "placement.Criteria",
        now: float,
    ) -> Norm:
        key = (criteria.service, criteria.work_class)
        norm = self.norms.get(key)
        if norm is None or now >= norm.until:
            rings = self._get_rings(places, criteria.service)
            norm = make_norm(rings, criteria.work_class, now)
            self.norms[key] = norm
        return norm


def make_norm(
    rings: Iterable[list["placement.TargetView"]], work_class: str, now: float
) -> Norm:
    """Returns the medians of the targets in some lists."""
    views = [view for ring in rings for view in ring[:MAX_NORM_VIEWS]]
    times = [
        view.service_times[work_class]
        for view in views
        if work_class in view.service_times
    ]
    loads = [
        view.reported_busy / max(1, view.target.slots)
        for view in views
        if now - view.reported_at < 2 * LOAD_HALF_LIFE_S
    ]
    return Norm(
        statistics.median(times) if times else None,
        statistics.median(loads) if loads else 0.0,
        now + NORM_AGE_S,
    )


def get_margin(
    view: "placement.TargetView", criteria: "placement.Criteria"
) -> float:
    """Returns the share that a choice adds to the cost of a target.

    A call that found a target full has seen that it is worth to leave.
    """
    return 0.0 if criteria.full else MIN_GAIN[view.distance]


def _group_by_distance(
    views: Iterable["placement.TargetView"],
) -> tuple[list["placement.TargetView"], ...]:
    """Returns the targets of this data centre, this region and others."""
    rings: tuple[list[placement.TargetView], ...] = ([], [], [])
    for view in views:
        rings[max(0, view.distance - 1)].append(view)
    return rings


def estimate_time(
    view: "placement.TargetView", work_class: str, norm: Norm, now: float
) -> float:
    """Returns the expected service time of a class, in seconds."""
    own_s = view.service_times.get(work_class)
    if norm.time_s is None:
        return backlog.DEFAULT_SERVICE_S if own_s is None else own_s
    if own_s is None:
        return norm.time_s
    age_s = now - view.service_at.get(work_class, now)
    weight: float = 0.5 ** (age_s / TIME_HALF_LIFE_S)
    return norm.time_s + weight * (own_s - norm.time_s)


def estimate_busy(
    view: "placement.TargetView", norm: Norm, now: float
) -> float:
    """Returns the expected number of calls that run or wait there."""
    age_s = now - view.reported_at
    weight: float = 0.5 ** (age_s / LOAD_HALF_LIFE_S)
    usual = norm.load * max(1, view.target.slots)
    busy = usual + weight * (view.reported_busy - usual)
    return max(busy + view.sent_since, view.in_flight)


def estimate_wait(
    view: "placement.TargetView", time_s: float, norm: Norm, now: float
) -> float:
    """Returns the expected wait for a slot, in seconds.

    A target that never answered this node is taken to have one slot, so that it
    gets single calls first.
    """
    if view.reported_at < 0 and not view.service_times:
        return view.in_flight * time_s
    slots = max(1, view.target.slots)
    busy = estimate_busy(view, norm, now)
    mean_s = view.service_time.value if view.service_time.count else time_s
    over = busy + 1.0 - slots
    if over > 0:
        return over * mean_s / slots
    share: float = (busy / slots) ** CROWD_EXPONENT
    return share * mean_s / slots
