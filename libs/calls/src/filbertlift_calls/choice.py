"""Choice of the target of one call."""

from collections.abc import Callable
from collections.abc import Collection
import hashlib
import random
from typing import Final

import attrs

from filbertlift_calls import targets
from filbertlift_calls import views
from filbertlift_core import model

# Pairs drawn in a tier before it counts as full.
MAX_DRAWS: Final = 2
_MASK: Final = (1 << 64) - 1
_MULTIPLIER: Final = 0x9E3779B97F4A7C15


@attrs.frozen
class Wish:
    """What a choice has to respect.

    Attributes:
        excluded: targets that were tried before.
        local_free: the target beside this node has a free slot.
        size: bytes of the request, charged when it crosses regions.
    """

    excluded: Collection[model.Address] = ()
    local_free: bool = False
    size: int = 0


PLAIN: Final = Wish()
Choose = Callable[
    [views.ServiceViews, Wish, float, random.Random], targets.TargetView | None
]


@attrs.frozen
class KeyedChoice:
    """The target of a keyed call.

    Attributes:
        view: the first live target by rank.
        is_shifted: a recently lost target ranks higher, so it may hold the
            outcome of an earlier attempt: a repeat must name no incarnation.
    """

    view: targets.TargetView
    is_shifted: bool


def choose(
    service: views.ServiceViews, wish: Wish, now: float, rng: random.Random
) -> targets.TargetView | None:
    """Returns the better of two random targets in the nearest free tier.

    Targets of other regions are taken only when nearer ones are full and the
    byte budget allows; else the call queues at a near one. A target that was
    left out gets a single call as its probe when that is due.
    """
    if wish.local_free:
        local = _find_local(service, wish)
        if local is not None:
            return local
    fallback: targets.TargetView | None = None
    for tier in targets.Tier:
        candidate = _draw(service, tier, wish, now, rng)
        if candidate is None:
            continue
        is_free = _is_free(service, candidate, now)
        if tier is targets.Tier.ELSEWHERE:
            is_useful = is_free or fallback is None
            if is_useful and service.link_budget.take(wish.size, now):
                return candidate
            continue
        if is_free:
            return candidate
        fallback = fallback or candidate
    return fallback


def make_round_robin() -> Choose:
    """Returns the baseline: every listed target in turn."""

    def choose_next(
        service: views.ServiceViews,
        wish: Wish,
        now: float,  # noqa: ARG001
        rng: random.Random,  # noqa: ARG001
    ) -> targets.TargetView | None:
        listed = list(service.views.values())
        for _ in listed:
            service.turn += 1
            view = listed[service.turn % len(listed)]
            if view.target.address not in wish.excluded:
                return view
        return None

    return choose_next


def choose_by_key(
    service: views.ServiceViews, key: str, now: float
) -> KeyedChoice | None:
    """Returns the live target that ranks first for a key.

    Every node must get the same result, so this looks at all targets of the
    service, lost ones too, and at nothing else.
    """
    number = hash_key(key)
    ranked = max(
        service.views.values(),
        key=lambda view: mix(view.seed, number),
        default=None,
    )
    if ranked is None:
        return None
    best = mix(ranked.seed, number)
    shifted = any(
        mix(seed, number) > best for seed in service.get_lost_seeds(now)
    )
    return KeyedChoice(ranked, shifted)


def hash_key(key: str) -> int:
    """Returns a 64 bit number of the key, the same on every node."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def mix(seed: int, number: int) -> int:
    """Returns the rank of a target for a key; the highest one gets it."""
    mixed = ((seed ^ number) * _MULTIPLIER) & _MASK
    mixed = ((mixed ^ (mixed >> 32)) * _MULTIPLIER) & _MASK
    return mixed ^ (mixed >> 29)


def _find_local(
    service: views.ServiceViews, wish: Wish
) -> targets.TargetView | None:
    if service.local is None or service.local in wish.excluded:
        return None
    view = service.views.get(service.local)
    if view is None or view.ejected_until is not None:
        return None
    return view


def _draw(
    service: views.ServiceViews,
    tier: targets.Tier,
    wish: Wish,
    now: float,
    rng: random.Random,
) -> targets.TargetView | None:
    """Returns a due probe, or the best of a few random targets of a tier."""
    probe = service.find_probe(tier, now)
    if probe is not None and probe.target.address not in wish.excluded:
        return probe
    best: targets.TargetView | None = None
    for _ in range(MAX_DRAWS):
        pair = _draw_pair(service.tiers[tier], wish, rng)
        for view in pair:
            if not service.check(view, now):
                continue
            if best is None or _is_better(service, view, best, now):
                best = view
        if best is not None and _is_free(service, best, now):
            return best
    return best


def _draw_pair(
    listed: list[targets.TargetView], wish: Wish, rng: random.Random
) -> tuple[targets.TargetView, ...]:
    """Returns two different random targets, fewer when there are no more."""
    if wish.excluded:
        listed = [v for v in listed if v.target.address not in wish.excluded]
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
    """Returns the expected time of one more call there, weighted.

    Calls in flight from here are the only load that is known without delay;
    a reported queue counts for a second.
    """
    load = view.in_flight + 1.0
    if view.queue and now - view.queue_at <= views.QUEUE_AGE_S:
        load += view.queue
    latency_s = service.get_median(view)
    is_recent = now - view.measured_at <= views.LATENCY_AGE_S
    if is_recent and view.latency_s > views.EQUAL_FACTOR * latency_s:
        latency_s = view.latency_s
    result = load * max(latency_s, views.LATENCY_FLOOR_S)
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
