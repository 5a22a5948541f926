"""Search of a free slot, or of the shortest queue, for one call.

With many entries and many targets of few slots, each entry calls a target too
seldom to know its load. The node beside a target knows it exactly and says so
within a millisecond or two: it is asked to take the call only if a slot is
free, and a refusal tells how long its queue is.
"""

from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import configuration
from filbertlift_mesh import placement

# A target that was not asked before takes a call only if it has a slot within
# this time, in seconds.
SHORT_WAIT_S: Final = 0.01
# Targets that are asked for a free slot before the call is queued.
MAX_SHORT_WAITS: Final = 4


@attrs.frozen
class Choice:
    """Where the next attempt goes.

    Attributes:
        view: the target.
        is_queued: whether the call waits there if no slot is free.
    """

    view: placement.TargetView
    is_queued: bool

    def limit_wait(self, left_s: float) -> float:
        """Returns the longest wait for a slot, in seconds."""
        return left_s if self.is_queued else SHORT_WAIT_S


@attrs.define(eq=False)
class Search:
    """What one call has learned of the targets.

    Attributes:
        tried: hosts that are not asked again.
        full: hosts that had no free slot.
    """

    tried: set[model.Address] = attrs.field(factory=set)
    full: set[model.Address] = attrs.field(factory=set)

    def choose(
        self,
        places: placement.Placement,
        route: configuration.Route,
        service: str,
        now: float,
    ) -> Choice | None:
        """Returns where the call goes next, None when nothing is left."""
        wish = placement.make_wish(
            route,
            service,
            self.tried,
            self.full,
            len(self.full) >= MAX_SHORT_WAITS,
        )
        view = places.choose(wish, now)
        if view is None:
            return None
        choice = Choice(view, view.address in self.full)
        self.full.discard(view.address)
        self.tried.add(view.address)
        return choice

    def note_full(self, address: model.Address) -> None:
        """Remembers a host that had no free slot; it may queue the call."""
        self.tried.discard(address)
        self.full.add(address)
