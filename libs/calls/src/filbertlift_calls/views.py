"""The state that an entry keeps for the targets of one service.

A target that is slow, silent or failing is ejected: it gets no calls except
single probes, and is readmitted when a probe succeeds.
"""

from collections.abc import Iterable
import hashlib
import heapq
from typing import Final

import attrs

from filbertlift_calls import budgets
from filbertlift_calls import exceptions
from filbertlift_calls import targets
from filbertlift_core import model

# A target is slow if its average latency is over this multiple of the median.
SLOW_FACTOR: Final = 3.0
# A target is ejected after it was slow or silent for this time, in seconds.
SLOW_AFTER_S: Final = 0.3
# Maximum duration of an ejection, in seconds. The duration doubles with each
# failed probe.
MAX_EJECT_S: Final = 10.0
# Number of failures in a row after which a target is ejected.
MAX_FAILURES: Final = 3
# Duration of the penalty on the score after a failure, in seconds.
PENALTY_S: Final = 1.0
# A reported queue is ignored after this time, in seconds.
QUEUE_AGE_S: Final = 1.0
# Time until a new target gets its full share of the calls, in seconds.
SLOW_START_S: Final = 10.0
# Minimum share of a new target.
MIN_WEIGHT: Final = 0.1
# Weight of each new latency after the first ten, which have equal weights.
LATENCY_GAIN: Final = 0.1
# Number of samples before an average is used.
MIN_SAMPLES: Final = 5
# The medians are recomputed after this time, in seconds.
MEDIAN_AGE_S: Final = 0.1
# A removed target remains part of the ranking by key for this time, in seconds.
LOST_RETENTION_S: Final = 120.0
# An average without a new sample for this time, in seconds, is replaced by the
# median; otherwise a target that was once slightly slow would never get a call
# again.
LATENCY_AGE_S: Final = 1.0
# Averages up to this multiple of the median count as equal. Otherwise all nodes
# would prefer the same target when each has few calls in flight.
EQUAL_FACTOR: Final = 1.5
# Shorter latencies are dominated by jitter of the event loop, in seconds.
MIN_LATENCY_S: Final = 0.001
_NEVER: Final = float("-inf")

_Probe = tuple[float, int, targets.TargetView]


@attrs.define(eq=False)
class ServiceViews:
    """The targets of one service, grouped by distance.

    Attributes:
        place: place of this node.
        local: address of this node; a call to its target saves one hop.
        slots: number of slots of each target of the service.
        link_budget: limits the bytes sent to other regions.
        views: all listed targets.
        tiers: the targets that are not ejected, by distance.
        lost: removed targets that are still part of the ranking by key.
        ejected: number of listed targets that are ejected.
        medians_s: median latency of the targets in this region, and of those in
            other regions, where the network adds tens of milliseconds.
        turn: position of the round robin baseline.
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
        """Adds and removes targets to match the current list.

        A target with another incarnation replaces the one at its address.
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
            if address in self.views or now - lost.since > LOST_RETENTION_S:
                del self.lost[address]

    def note_sent(
        self, view: targets.TargetView, work: model.WorkClass, now: float
    ) -> None:
        """Records that a call is sent to a target."""
        view.in_flight += 1
        if view.ejected_until is not None:
            view.probing = True
        if work is model.WorkClass.LONG:
            return
        if view.short_in_flight == 0:
            view.silent_since = now
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
            view: target that the call was sent to.
            work: class of the call; the latency of LONG calls is not used.
            latency_s: time from sending the call to the answer.
            queue: number of waiting short calls that the answer reports.
            now: current time, in seconds.
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
            self._evaluate_probe(view, latency_s, now)
            return
        self._update_slowness(view, now)

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
        """Records the end of a call that gives no evidence about the target."""
        self._note_end(view, work, now)
        self._end_probe(view, now, False)

    def check(self, view: targets.TargetView, now: float) -> bool:
        """Ejects a slow or silent target; returns whether it may be chosen.

        A slow target gets no calls, because the other targets score better. It
        sends no answers that could cause its ejection and start its probes, so
        it is also checked whenever it is drawn.
        """
        is_slow = (
            view.slow_since is not None
            and now - view.slow_since >= SLOW_AFTER_S
        )
        if not is_slow and not self._is_silent(view, now):
            return True
        return not self.eject(view, now)

    def _is_silent(self, view: targets.TargetView, now: float) -> bool:
        """Returns whether short calls are in flight and none ended in time."""
        median_s = self.get_median(view)
        if view.short_in_flight == 0 or not median_s:
            return False
        limit = max(SLOW_AFTER_S, SLOW_FACTOR * median_s)
        return now - view.silent_since > limit

    def eject(self, view: targets.TargetView, now: float) -> bool:
        """Ejects a target, but never more than half; returns whether it did."""
        if view.is_removed or view.ejected_until is not None:
            return False
        if 2 * (self.ejected + 1) > len(self.views):
            return False
        self.ejected += 1
        self.tiers[view.tier].remove(view)
        self._schedule_probe(view, now)
        return True

    def find_probe(
        self, tier: targets.Tier, now: float
    ) -> targets.TargetView | None:
        """Returns an ejected target whose probe is due."""
        probes = self._probes[tier]
        while probes and probes[0][0] <= now:
            due, _, view = probes[0]
            is_due = view.ejected_until == due and not view.probing
            if is_due and not view.is_removed:
                return view
            heapq.heappop(probes)
        return None

    def get_lost_seeds(self, now: float) -> list[int]:
        """Returns the seeds of targets removed in the last LOST_RETENTION_S."""
        return [
            lost.seed
            for lost in self.lost.values()
            if now - lost.since <= LOST_RETENTION_S
        ]

    def get_median(self, view: targets.TargetView) -> float:
        """Returns the median latency of the targets as near as this one."""
        return self.medians_s[view.tier is targets.Tier.ELSEWHERE]

    def _add(self, target: targets.Target, born: float) -> None:
        tier = _get_tier(self.place, target.place)
        view = targets.TargetView(
            target, tier, _make_seed(target.address), born
        )
        self.views[target.address] = view
        self.tiers[tier].append(view)

    def _remove(self, view: targets.TargetView, now: float) -> None:
        view.is_removed = True
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
        view.silent_since = now

    def _get_slow_limit(self, view: targets.TargetView) -> float:
        return SLOW_FACTOR * max(self.get_median(view), MIN_LATENCY_S)

    def _update_slowness(self, view: targets.TargetView, now: float) -> None:
        """Updates whether a target is slow; ejects it after `SLOW_AFTER_S`."""
        limit = self._get_slow_limit(view)
        if view.samples < MIN_SAMPLES or view.latency_s <= limit:
            view.slow_since = None
            return
        if view.slow_since is None:
            view.slow_since = now
        if now - view.slow_since >= SLOW_AFTER_S:
            self.eject(view, now)

    def _evaluate_probe(
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
            self._schedule_probe(view, now)
            return
        view.ejected_until = None
        view.eject_s = targets.MIN_EJECT_S
        view.slow_since = None
        if view.is_removed:
            return
        self.ejected -= 1
        self.tiers[view.tier].append(view)

    def _schedule_probe(self, view: targets.TargetView, now: float) -> None:
        self._ejections += 1
        view.ejected_until = now + view.eject_s
        view.eject_s = min(MAX_EJECT_S, 2 * view.eject_s)
        if not view.is_removed:
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
            # The lower median: of two targets, the slow one must not define it.
            middle = (len(values) - 1) // 2
            self.medians_s[is_far] = values[middle] if values else 0.0


def _add_latency(
    view: targets.TargetView, latency_s: float, now: float
) -> None:
    """Adds one latency to the average; an outdated average is replaced."""
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
