"""Search for a free slot, or for the shortest queue, for one call.

With many entries and many targets of few slots, each entry calls a target too
rarely to know its load. The node on the target's host knows the load exactly
and answers within one or two milliseconds. It is asked to accept the call only
if a slot is free, and a refusal carries the expected wait.

`filbertlift_calls.choice` has no such search: it chooses a target by the loads
that the node knows, and the call may queue there.
"""

from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import configuration
from filbertlift_mesh import placement

# Longest wait for a slot at a target that was not asked before, in seconds.
SHORT_WAIT_S: Final = 0.01
# Targets without a free slot after which the call is queued at one of them.
MAX_SHORT_WAITS: Final = 4
# Share of the objective that the search may take. On busy hosts one refusal
# takes tens of milliseconds.
MAX_SEARCH_SHARE: Final = 0.125
# Time for which the shortest service time of a service is kept, in seconds.
RUN_AGE_S: Final = 0.5


@attrs.frozen
class Choice:
    """Target of the next attempt.

    Attributes:
        view: the target.
        is_queued: whether the call may wait there until its deadline.
    """

    view: placement.TargetView
    is_queued: bool

    def limit_wait(self, left_s: float) -> float:
        """Returns the longest wait for a slot, in seconds."""
        return left_s if self.is_queued else SHORT_WAIT_S


@attrs.define(eq=False)
class ShortestRuns:
    """Shortest mean service time of a target, by service and class.

    Each is kept for `RUN_AGE_S`, since there may be hundreds of targets and it
    is read at the end of each attempt.
    """

    _known: dict[tuple[str, str], tuple[float, float]] = attrs.field(
        factory=dict
    )

    def read(
        self,
        places: placement.Placement,
        route: configuration.Route,
        service: str,
        now: float,
    ) -> float:
        """Returns the time in seconds; 0 while no target has reported one."""
        key = (service, route.work_class)
        held = self._known.get(key)
        if held is not None and now < held[1]:
            return held[0]
        shortest_s = _estimate_run(places, route, service)
        self._known[key] = shortest_s, now + RUN_AGE_S
        return shortest_s

    def clear(self) -> None:
        """Drops all times, since services or classes may have gone."""
        self._known.clear()


def _estimate_run(
    places: placement.Placement, route: configuration.Route, service: str
) -> float:
    known = [
        view.service_times[route.work_class]
        for view in places.views.get(service, {}).values()
        if route.work_class in view.service_times
    ]
    return min(known, default=0.0)


@attrs.define(eq=False)
class Search:
    """State of the search of one call.

    Attributes:
        tried: hosts that are not asked again.
        full: hosts that had no free slot; the call may be queued there.
        started_at: when the first target was chosen, in seconds.
    """

    tried: set[model.Address] = attrs.field(factory=set)
    full: set[model.Address] = attrs.field(factory=set)
    started_at: float | None = None

    def choose(
        self,
        places: placement.Placement,
        route: configuration.Route,
        service: str,
        now: float,
    ) -> Choice | None:
        """Returns the next target of the call; None if no target is left."""
        if self.started_at is None:
            self.started_at = now
        searched_s = now - self.started_at
        is_over = (
            len(self.full) >= MAX_SHORT_WAITS
            or searched_s > MAX_SEARCH_SHARE * route.objective_s
        )
        criteria = placement.make_criteria(
            route,
            service,
            self.tried,
            self.full,
            is_over,
            not self.tried and not self.full,
        )
        view = places.choose(criteria, now)
        if view is None:
            return None
        choice = Choice(view, view.address in self.full)
        self.full.discard(view.address)
        self.tried.add(view.address)
        return choice

    def note_full(self, address: model.Address) -> None:
        """Records that a host had no free slot; it may queue the call."""
        self.tried.discard(address)
        self.full.add(address)
