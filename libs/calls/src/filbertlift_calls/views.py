"""What one entry node knows of the targets of one service."""

from collections.abc import Iterable
import hashlib
import heapq
from typing import Final

import attrs

from filbertlift_calls import budgets
from filbertlift_calls import exceptions
from filbertlift_calls import targets
from filbertlift_core import model

# A target is slow when its average is over this many times the median.
SLOW_FACTOR: Final = 3.0
# It is left out after it was slow, or silent, for this time, in seconds.
SLOW_AFTER_S: Final = 0.3
# Time left out; doubles with each failed probe up to the limit, in seconds.
MAX_EJECT_S: Final = 10.0
# Failures in a row after which a target is left out.
MAX_FAILURES: Final = 3
# A penalty weighs on the choice for this long after the failure, in seconds.
PENALTY_S: Final = 1.0
# A reported queue says nothing any more after this time, in seconds.
QUEUE_AGE_S: Final = 1.0
# A new target reaches its full share in this time, in seconds.
SLOW_START_S: Final = 10.0
MIN_WEIGHT: Final = 0.1
# Weight of the newest latency once ten were measured.
LATENCY_GAIN: Final = 0.1
# Samples before an average counts.
MIN_SAMPLES: Final = 5
# The median is taken again after this time, in seconds.
MEDIAN_AGE_S: Final = 0.1
# A target that vanished still owns its keys for this time, in seconds.
LOST_S: Final = 120.0
# An average that no call renewed counts as the median after this time, in
# seconds; else a target that was a little slow once would get no call again.
LATENCY_AGE_S: Final = 1.0
# Averages up to this many times the median count as equal. Else, with few calls
# in flight from each node, all nodes would prefer the same target.
EQUAL_FACTOR: Final = 1.5
# Times below this are noise of the loop, in seconds.
LATENCY_FLOOR_S: Final = 0.001
_NEVER: Final = float("-inf")

_Probe = tuple[float, int, targets.TargetView]


@attrs.define(eq=False)
class ServiceViews:
    """The targets of one service, with those in use sorted by distance.

    Attributes:
        place: where this node stands.
        local: address of this node, whose own target is one hop nearer.
        slots: slots of each target of the service.
        link_budget: bytes that may cross to other regions.
        views: every listed target.
        tiers: the targets in use, by distance.
        lost: vanished targets and when they vanished.
        ejected: how many listed targets are left out.
        medians_s: median latency of the targets in this region, and of those
            in other regions, whose way adds tens of milliseconds.
        turn: counter of the round robin baseline.
    """

    place: model.Place
    local: model.Address | None
    slots: int
    link_budget: budgets.LinkBudget
    views: dict[model.Address, targets.TargetView] = attrs.field(factory=dict)
    tiers: tuple[
        list[targets.TargetView],
        list[targets.TargetView],
        list[targets.TargetView],
    ] = attrs.field(factory=lambda: ([], [], []))
    lost: dict[model.Address, targets.LostTarget] = attrs.field(factory=dict)
    ejected: int = 0
    medians_s: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    turn: int = 0
    _median_at: float = _NEVER
    _probes: tuple[list[_Probe], list[_Probe], list[_Probe]] = attrs.field(
        factory=lambda: ([], [], [])
    )
    _ejections: int = 0
    _updated: bool = False

    def update(self, present: Iterable[targets.Target], now: float) -> None:
        """Takes the present list of targets; forgets those that vanished.

        A target with a new incarnation is a new one at an old address.
        """
        listed = {target.address: target for target in present}
        for address, view in list(self.views.items()):
            target = listed.get(address)
            if target is None or target != view.target:
                self._remove(view, now)
        for address, target in listed.items():
            if address not in self.views:
                self._add(target, now if self._updated else _NEVER)
        self._updated = True
        for address, lost in list(self.lost.items()):
            if address in self.views or now - lost.since > LOST_S:
                del self.lost[address]

    def note_sent(
        self, view: targets.TargetView, work: model.WorkClass, now: float
    ) -> None:
        """Records that a call goes to this target."""
        view.in_flight += 1
        if view.ejected_until is not None:
            view.probing = True
        if work is model.WorkClass.LONG:
            return
        if view.short_in_flight == 0:
            view.heard = now
        view.short_in_flight += 1

    def note_answer(
        self,
        view: targets.TargetView,
        work: model.WorkClass,
        latency_s: float,
        queue: int,
        now: float,
    ) -> None:
        """Records an answer.

        Args:
            view: the target that the call was sent to.
            work: class of the call; LONG says nothing about slowness.
            latency_s: from sending to the answer.
            queue: waiting short calls that the answer reports.
            now: seconds.
        """
        self._note_end(view, work, now)
        view.queue = queue
        view.queue_at = now
        view.failures = 0
        view.penalty = 1.0
        if work is model.WorkClass.LONG:
            self._end_probe(view, now, False)
            return
        _add_latency(view, latency_s, now)
        self._refresh_median(now)
        if view.ejected_until is not None:
            self._judge_probe(view, latency_s, now)
            return
        self._judge(view, now)

    def note_failure(
        self, view: targets.TargetView, work: model.WorkClass, now: float
    ) -> None:
        """Records that a call ended without an answer or was refused."""
        self._note_end(view, work, now)
        view.failures += 1
        view.penalty = min(64.0, view.penalty * 2.0)
        view.penalty_until = now + PENALTY_S
        if view.ejected_until is not None:
            self._end_probe(view, now, False)
        elif view.failures >= MAX_FAILURES:
            self.eject(view, now)

    def note_dropped(
        self, view: targets.TargetView, work: model.WorkClass, now: float
    ) -> None:
        """Records the end of a call that says nothing about the target."""
        self._note_end(view, work, now)
        self._end_probe(view, now, False)

    def check(self, view: targets.TargetView, now: float) -> bool:
        """Returns whether a target may be chosen; leaves it out if not.

        A slow target is drawn but loses, so no answer of its own would come to
        leave it out and start its probes.
        """
        is_slow = (
            view.slow_since is not None
            and now - view.slow_since >= SLOW_AFTER_S
        )
        if not is_slow and not self._is_silent(view, now):
            return True
        return not self.eject(view, now)

    def _is_silent(self, view: targets.TargetView, now: float) -> bool:
        """Returns whether short calls went out and none came back in time."""
        median_s = self.get_median(view)
        if view.short_in_flight == 0 or not median_s:
            return False
        limit = max(SLOW_AFTER_S, SLOW_FACTOR * median_s)
        return now - view.heard > limit

    def eject(self, view: targets.TargetView, now: float) -> bool:
        """Leaves a target out; False when half of them are out already."""
        if view.vanished or view.ejected_until is not None:
            return False
        if 2 * (self.ejected + 1) > len(self.views):
            return False
        self.ejected += 1
        self.tiers[view.tier].remove(view)
        self._set_probe(view, now)
        return True

    def find_probe(
        self, tier: targets.Tier, now: float
    ) -> targets.TargetView | None:
        """Returns a left out target whose single probe is due."""
        probes = self._probes[tier]
        while probes and probes[0][0] <= now:
            due, _, view = probes[0]
            is_due = view.ejected_until == due and not view.probing
            if is_due and not view.vanished:
                return view
            heapq.heappop(probes)
        return None

    def get_lost_seeds(self, now: float) -> list[int]:
        """Returns the seeds of targets that vanished less than LOST_S ago."""
        return [
            lost.seed
            for lost in self.lost.values()
            if now - lost.since <= LOST_S
        ]

    def get_median(self, view: targets.TargetView) -> float:
        """Returns the median latency among targets as near as this one."""
        return self.medians_s[view.tier is targets.Tier.ELSEWHERE]

    def _add(self, target: targets.Target, born: float) -> None:
        tier = _get_tier(self.place, target.place)
        view = targets.TargetView(
            target, tier, _make_seed(target.address), born
        )
        self.views[target.address] = view
        self.tiers[tier].append(view)

    def _remove(self, view: targets.TargetView, now: float) -> None:
        view.vanished = True
        del self.views[view.target.address]
        self.lost[view.target.address] = targets.LostTarget(view.seed, now)
        if view.ejected_until is None:
            self.tiers[view.tier].remove(view)
            return
        self.ejected -= 1

    def _note_end(
        self, view: targets.TargetView, work: model.WorkClass, now: float
    ) -> None:
        if view.in_flight <= 0:
            raise exceptions.ChoiceError(
                f"no call is in flight to {view.target.address}"
            )
        view.in_flight -= 1
        if work is model.WorkClass.LONG:
            return
        view.short_in_flight -= 1
        view.heard = now

    def _get_slow_limit(self, view: targets.TargetView) -> float:
        return SLOW_FACTOR * max(self.get_median(view), LATENCY_FLOOR_S)

    def _judge(self, view: targets.TargetView, now: float) -> None:
        """Leaves a target out that has been slow for long enough."""
        limit = self._get_slow_limit(view)
        if view.samples < MIN_SAMPLES or view.latency_s <= limit:
            view.slow_since = None
            return
        if view.slow_since is None:
            view.slow_since = now
        if now - view.slow_since >= SLOW_AFTER_S:
            self.eject(view, now)

    def _judge_probe(
        self, view: targets.TargetView, latency_s: float, now: float
    ) -> None:
        if not view.probing:
            return
        limit = self._get_slow_limit(view)
        self._end_probe(view, now, latency_s <= limit)
        if view.ejected_until is None:
            view.latency_s = latency_s

    def _end_probe(
        self, view: targets.TargetView, now: float, passed: bool
    ) -> None:
        if view.ejected_until is None or not view.probing:
            return
        view.probing = False
        if not passed:
            self._set_probe(view, now)
            return
        view.ejected_until = None
        view.eject_s = targets.EJECT_S
        view.slow_since = None
        if view.vanished:
            return
        self.ejected -= 1
        self.tiers[view.tier].append(view)

    def _set_probe(self, view: targets.TargetView, now: float) -> None:
        self._ejections += 1
        view.ejected_until = now + view.eject_s
        view.eject_s = min(MAX_EJECT_S, 2 * view.eject_s)
        if not view.vanished:
            heapq.heappush(
                self._probes[view.tier],
                (view.ejected_until, self._ejections, view),
            )

    def _refresh_median(self, now: float) -> None:
        if now - self._median_at < MEDIAN_AGE_S:
            return
        self._median_at = now
        for is_far in (False, True):
            values = sorted(
                view.latency_s
                for view in self.views.values()
                if view.samples >= MIN_SAMPLES
                and (view.tier is targets.Tier.ELSEWHERE) is is_far
            )
            # The lower middle: of two targets the slow one must not set it.
            middle = (len(values) - 1) // 2
            self.medians_s[is_far] = values[middle] if values else 0.0


def _add_latency(
    view: targets.TargetView, latency_s: float, now: float
) -> None:
    """Averages in one latency; an old average says nothing any more."""
    if now - view.measured_at > LATENCY_AGE_S:
        view.samples = min(view.samples, MIN_SAMPLES)
        view.latency_s = latency_s
    view.measured_at = now
    view.samples += 1
    gain = max(LATENCY_GAIN, 1.0 / view.samples)
    view.latency_s += gain * (latency_s - view.latency_s)


def _get_tier(here: model.Place, there: model.Place) -> targets.Tier:
    if here.region != there.region:
        return targets.Tier.ELSEWHERE
    if here.data_centre != there.data_centre:
        return targets.Tier.REGION
    return targets.Tier.DATA_CENTRE


def _make_seed(address: model.Address) -> int:
    digest = hashlib.blake2b(str(address).encode(), digest_size=8).digest()
    return int.from_bytes(digest)
