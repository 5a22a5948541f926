"""Estimates how long a caller has waited, from the deadline of its call.

A caller that was refused returns with a new call whose deadline is what is left
of the first one. Its objective runs since the first call, which no header
names. What is left of a deadline ends when the deadline ends, so a new call
with the path of a refused one, which ends when that would have and comes about
when it was told to, is taken for its return. Otherwise, the callers of a route
set similar deadlines, so a deadline clearly below the longest shows an earlier
attempt, and how long ago it was.
"""

from collections import deque
import math
from typing import Final

import attrs

from filbertlift_calls import means

# Deadlines below this share of the longest are short: no longer within the
# spread of the deadlines of first calls.
SHORT_SHARE: Final = 0.8
# Time after which the longest deadline is no longer known unless it occurs
# again, in seconds, so that shorter deadlines of callers are learned.
LONGEST_WINDOW_S: Final = 30.0
# Share of short deadlines while nobody returns, beyond which a route has
# callers of different kinds, whose deadlines tell nothing.
MAX_MIXED_SHARE: Final = 0.1
MEAN_GAIN: Final = 0.05
# Largest difference between the ends of a refused call's deadline and of that
# of its return, in seconds; it covers the delays of a busy host.
DEADLINE_TOLERANCE_S: Final = 0.01
# Time after the told one in which a return is expected, in seconds.
RETURN_WINDOW_S: Final = 0.25
# Refused calls of a route that are remembered.
MAX_REFUSED: Final = 1_000


@attrs.frozen
class RefusedCall:
    """A call that was refused and may return.

    Attributes:
        path_hash: hash of its path.
        since: first attempt of its caller, in seconds.
        ends_at: end of its deadline, in seconds.
        returns_at: when its caller was told to return, in seconds.
    """

    path_hash: int
    since: float
    ends_at: float
    returns_at: float


@attrs.define(eq=False)
class RoutePatience:
    """Deadlines of the callers of one route.

    Attributes:
        longest_s: longest deadline in this window or the one before, in
            seconds.
        usual: mean of the deadlines that are not short, in seconds.
        short_share: share of short deadlines while no call was turned away.
        returned_at: when a caller that may return was last answered, in
            seconds; at first the start of this node, which callers may have
            called before.
    """

    returned_at: float
    longest_s: float = 0.0
    usual: means.Mean = attrs.field(factory=lambda: means.Mean(gain=MEAN_GAIN))
    short_share: means.Mean = attrs.field(
        factory=lambda: means.Mean(gain=MEAN_GAIN)
    )
    _next_longest_s: float = 0.0
    _window_end: float = float("-inf")
    _refused: dict[int, list[RefusedCall]] = attrs.field(factory=dict)
    _order: deque[tuple[int, RefusedCall]] = attrs.field(factory=deque)

    def note_failure(self, now: float) -> None:
        """Records that a caller got no answer of a target and may return."""
        self.returned_at = now

    def note_refusal(self, refused: RefusedCall, now: float) -> None:
        """Records a refused call, which may return."""
        self.returned_at = now
        key = _make_key(refused.ends_at)
        self._refused.setdefault(key, []).append(refused)
        self._order.append((key, refused))
        while self._order and (
            len(self._order) > MAX_REFUSED
            or self._order[0][1].returns_at + RETURN_WINDOW_S < now
        ):
            self._forget(*self._order.popleft())

    def estimate_wait(
        self, deadline_s: float, now: float, path_hash: int = 0
    ) -> float:
        """Returns how long the caller of a new call has waited, in seconds.

        Args:
            deadline_s: deadline of the call, in seconds from now.
            now: current time, in seconds.
            path_hash: hash of the path of the call.
        """
        refused = self._take_refused(path_hash, now + deadline_s, now)
        if refused is not None:
            return now - refused.since
        self._note_longest(deadline_s, now)
        is_short = deadline_s < SHORT_SHARE * self.longest_s
        if now - self.returned_at > self.longest_s:
            # No caller of this node returns after an earlier attempt.
            self.short_share.add(float(is_short))
        if not is_short:
            self.usual.add(deadline_s)
            return 0.0
        if self.short_share.value > MAX_MIXED_SHARE:
            return 0.0
        # The mean may still hold longer deadlines that no longer occur.
        usual_s = min(self.usual.value, self.longest_s)
        return max(0.0, usual_s - deadline_s)

    def _take_refused(
        self, path_hash: int, ends_at: float, now: float
    ) -> RefusedCall | None:
        """Returns the refused call of which a new call is the return."""
        key = _make_key(ends_at)
        for near in (key, key - 1, key + 1):
            for refused in self._refused.get(near, ()):
                late_s = now - refused.returns_at
                if (
                    refused.path_hash == path_hash
                    and abs(refused.ends_at - ends_at) <= DEADLINE_TOLERANCE_S
                    and -DEADLINE_TOLERANCE_S <= late_s <= RETURN_WINDOW_S
                ):
                    self._forget(near, refused)
                    return refused
        return None

    def _forget(self, key: int, refused: RefusedCall) -> None:
        held = self._refused.get(key, [])
        if refused in held:
            held.remove(refused)
        if not held:
            self._refused.pop(key, None)

    def _note_longest(self, deadline_s: float, now: float) -> None:
        if now >= self._window_end:
            self.longest_s = self._next_longest_s
            self._next_longest_s = 0.0
            self._window_end = now + LONGEST_WINDOW_S
        self._next_longest_s = max(self._next_longest_s, deadline_s)
        self.longest_s = max(self.longest_s, deadline_s)


@attrs.define(eq=False)
class Patience:
    """Deadlines of the callers of all routes.

    Attributes:
        started_at: when this node started, in seconds.
    """

    started_at: float
    _routes: dict[str, RoutePatience] = attrs.field(factory=dict)

    def get_route(self, name: str) -> RoutePatience:
        """Returns the deadlines of the callers of a route."""
        held = self._routes.get(name)
        if held is None:
            held = RoutePatience(self.started_at)
            self._routes[name] = held
        return held

    def drop_other_routes(self, names: set[str]) -> None:
        """Drops the routes that a new configuration no longer has."""
        for name in list(self._routes):
            if name not in names:
                del self._routes[name]


def _make_key(ends_at: float) -> int:
    return math.floor(ends_at / DEADLINE_TOLERANCE_S)
