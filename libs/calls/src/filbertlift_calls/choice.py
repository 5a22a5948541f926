"""Load balancing: chooses the target of one call.

It compares two targets of the nearest tier that is free; `placement` of the
library `mesh` compares several by their expected time, of which distance is
only a part.
"""

from collections.abc import Callable
from collections.abc import Collection
import hashlib
import random
from typing import Final

import attrs

from filbertlift_calls import targets
from filbertlift_calls import views
from filbertlift_core import model

# Pairs of targets drawn in a tier before the tier counts as full.
MAX_DRAWS: Final = 2
_MASK: Final = (1 << 64) - 1
# 2**64 divided by the golden ratio, as in Fibonacci hashing.
_MULTIPLIER: Final = 0x9E3779B97F4A7C15


@attrs.frozen
class Criteria:
    """Criteria for the choice of a target.

    Attributes:
        excluded: addresses of targets that were tried before.
        local_free: whether the target beside this node has a free slot.
        size: bytes of the request, charged if it crosses regions.
    """

    excluded: Collection[model.Address] = ()
    local_free: bool = False
    size: int = 0


DEFAULT_CRITERIA: Final = Criteria()
Choose = Callable[
    [views.ServiceViews, Criteria, float, random.Random],
    targets.TargetView | None,
]


@attrs.frozen
class KeyedChoice:
    """The target of a keyed call.

    Attributes:
        view: the listed target with the highest rank.
        is_shifted: whether a target with a higher rank was lost recently. That
            target may hold the outcome of an earlier attempt, so a repeat must
            not name an incarnation.
    """

    view: targets.TargetView
    is_shifted: bool


def choose(
    service: views.ServiceViews,
    criteria: Criteria,
    now: float,
    rng: random.Random,
) -> targets.TargetView | None:
    """Returns the better of two random targets in the nearest free tier.

    A target of another region is chosen only if the nearer ones are full and
    the link budget allows it; otherwise the call queues at a near target. An
    ejected target whose probe is due is chosen for a single call.
    """
    if criteria.local_free:
        local = _find_local(service, criteria)
        if local is not None:
            return local
    fallback: targets.TargetView | None = None
    for tier in targets.Tier:
        candidate = _draw(service, tier, criteria, now, rng)
        if candidate is None:
            continue
        is_free = _is_free(service, candidate, now)
        if tier is targets.Tier.ELSEWHERE:
            is_useful = is_free or fallback is None
            if is_useful and service.link_budget.take(criteria.size, now):
                return candidate
            continue
        if is_free:
            return candidate
        fallback = fallback or candidate
    return fallback


def make_round_robin() -> Choose:
    """Returns the baseline: round robin over all listed targets."""

    def choose_next(
        service: views.ServiceViews,
        criteria: Criteria,
        now: float,  # noqa: ARG001
        rng: random.Random,  # noqa: ARG001
    ) -> targets.TargetView | None:
        listed = list(service.views.values())
        for _ in listed:
            service.turn += 1
            view = listed[service.turn % len(listed)]
            if view.target.address not in criteria.excluded:
                return view
        return None

    return choose_next


def choose_by_key(
    service: views.ServiceViews, key: str, now: float
) -> KeyedChoice | None:
    """Returns the listed target with the highest rank for a key.

    This is rendezvous hashing. Every node must get the same result, so it
    depends only on the key and the targets of the service, lost ones included.
    """
    key_hash = hash_key(key)
    ranked = max(
        service.views.values(),
        key=lambda view: compute_rank(view.seed, key_hash),
        default=None,
    )
    if ranked is None:
        return None
    best = compute_rank(ranked.seed, key_hash)
    shifted = any(
        compute_rank(seed, key_hash) > best
        for seed in service.get_lost_seeds(now)
    )
    return KeyedChoice(ranked, shifted)


def hash_key(key: str) -> int:
    """Returns a 64-bit hash of the key that is the same on every node."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def compute_rank(seed: int, key_hash: int) -> int:
    """Returns the rank of a target for a key; the highest rank wins."""
    mixed = ((seed ^ key_hash) * _MULTIPLIER) & _MASK
    mixed = ((mixed ^ (mixed >> 32)) * _MULTIPLIER) & _MASK
    return mixed ^ (mixed >> 29)


def _find_local(
    service: views.ServiceViews, criteria: Criteria
) -> targets.TargetView | None:
    if service.local is None or service.local in criteria.excluded:
        return None
    view = service.views.get(service.local)
    if view is None or view.ejected_until is not None:
        return None
    return view


def _draw(
    service: views.ServiceViews,
    tier: targets.Tier,
    criteria: Criteria,
    now: float,
    rng: random.Random,
) -> targets.TargetView | None:
    """Returns a target due for a probe, or the best of a few random ones."""
    probe = service.find_probe(tier, now)
    if probe is not None and probe.target.address not in criteria.excluded:
        return probe
    best: targets.TargetView | None = None
    for _ in range(MAX_DRAWS):
        pair = _draw_pair(service.tiers[tier], criteria, rng)
        for view in pair:
            if not service.check(view, now):
                continue
            if best is None or _is_better(service, view, best, now):
                best = view
        if best is not None and _is_free(service, best, now):
            return best
    return best


def _draw_pair(
    listed: list[targets.TargetView],
    criteria: Criteria,
    rng: random.Random,
) -> tuple[targets.TargetView, ...]:
    """Returns two different random targets; fewer if there are not two."""
    if criteria.excluded:
        listed = [
            v for v in listed if v.target.address not in criteria.excluded
        ]
    count = len(listed)
    if count < 2:
        return tuple(listed)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    return listed[first], listed[second]


def _is_better(
    service: views.ServiceViews,
    view: targets.TargetView,
    other: targets.TargetView,
    now: float,
) -> bool:
    return score(service, view, now) < score(service, other, now)


def score(
    service: views.ServiceViews, view: targets.TargetView, now: float
) -> float:
    """Returns the weighted cost of one more call to a target; lower is better.

    The cost is the load times the latency. Only the calls in flight from this
    node are known without delay; a reported queue is added to them while it is
    at most `views.QUEUE_AGE_S` old.
    """
    load = view.in_flight + 1.0
    if view.queue and now - view.queue_at <= views.QUEUE_AGE_S:
        load += view.queue
    latency_s = service.get_median(view)
    is_recent = now - view.measured_at <= views.LATENCY_AGE_S
    if is_recent and view.latency_s > views.EQUAL_FACTOR * latency_s:
        latency_s = view.latency_s
    result = load * max(latency_s, views.MIN_LATENCY_S)
    if now < view.penalty_until:
        result *= view.penalty
    age_s = now - view.born
    if age_s < views.SLOW_START_S:
        result /= max(views.MIN_WEIGHT, age_s / views.SLOW_START_S)
    return result


def _is_free(
    service: views.ServiceViews, view: targets.TargetView, now: float
) -> bool:
    if view.in_flight >= service.slots:
        return False
    if view.queue and now - view.queue_at <= views.QUEUE_AGE_S:
        return False
    return view.failures < views.MAX_FAILURES or now >= view.penalty_until
