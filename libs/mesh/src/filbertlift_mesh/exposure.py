"""Restricts the choice of targets by release while an order is in progress.

Each entry sends the same share of its calls to the new release. The share is
distributed by a smooth round robin with a random start, since a random choice
would need hundreds of calls to match it. Only the first attempt of a call may
go to the new release until all calls do.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import hashlib
import random
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import placement
from filbertlift_mesh import rollouts

# Time since the last announcement of a watching host after which a host sends
# no calls to the new release, in seconds: it would not hear of a rollback.
ANNOUNCEMENT_AGE_S: Final = 2.5
# Time for which a target whose release differs from that of its service gets no
# calls, in seconds: an order that it belongs to may be on its way.
HOLD_S: Final = 2.0
# The same while the store answers no host, so that an order cannot be read.
BLIND_HOLD_S: Final = 15.0
# A later release is that of the service once it has more than this multiple of
# the targets of the earliest one.
MAJORITY: Final = 2
# Targets of the new release that take turns in the canary, at least, and the
# length of a turn, in seconds. One after another carries the load of a target
# of the old release, and more than one shows whether a fault is of the release.
MIN_CANARIES: Final = 4
TURN_S: Final = 0.8
_FOREVER: Final = float("inf")


class Phase(enum.Enum):
    """Which releases get the calls of a service.

    ANY: all; no order is in progress.
    OLD: only the old ones.
    SHARED: the new one gets a share of the first attempts.
    NEW: only the new one.
    """

    ANY = enum.auto()
    OLD = enum.auto()
    SHARED = enum.auto()
    NEW = enum.auto()


@attrs.define(eq=False)
class _Plan:
    """The targets of a service, grouped by release.

    Attributes:
        views: the targets that were grouped.
        revision: revision of the order, 0 without one.
        barred: releases of earlier orders that get no calls.
        expires_at: when the plan has to be made again, in seconds.
        old: targets that get the calls that the new release does not get.
        new: targets of the new release in the order of their use.
    """

    views: Mapping[model.Address, placement.TargetView]
    revision: int
    barred: tuple[str, ...]
    expires_at: float
    old: Sequence[placement.TargetView]
    new: Sequence[placement.TargetView] = ()


@attrs.define(eq=False)
class Gate:
    """Orders that this host knows, and the choice of releases by them.

    Attributes:
        expose_share: largest share of a service's calls that a release may get
            before it is found good.
        rng: source of the position at which the share of a service starts.
        states: what is known of the latest order of each service.
        announced_at: when a watching host last announced the order of a
            service, in seconds.
        has_store: whether the store answers any host, as far as known.
        counts: calls by service and by the releases that they could go to.
    """

    expose_share: float
    rng: random.Random
    states: dict[str, rollouts.Rollout] = attrs.field(factory=dict)
    announced_at: dict[str, float] = attrs.field(factory=dict)
    has_store: bool = True
    counts: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    _balances: dict[str, float] = attrs.field(factory=dict)
    _plans: dict[str, _Plan] = attrs.field(factory=dict)

    def note_rollout(self, received: rollouts.Rollout) -> bool:
        """Merges what another host or the store tells; returns if it is new."""
        service = received.order.service
        held = self.states.get(service)
        merged = rollouts.merge(held, received)
        self.states[service] = merged
        return held is None or merged.rank != held.rank

    def get_phase(self, service: str, now: float) -> Phase:
        """Returns which releases get the calls of a service now."""
        rollout = self.states.get(service)
        if rollout is None:
            return Phase.ANY
        stage_age_s = now - rollout.stage_at
        if rollout.stage is rollouts.Stage.COMPLETED:
            is_over = stage_age_s > rollouts.COMPLETED_HOLD_S
            return Phase.ANY if is_over else Phase.NEW
        if rollout.stage is rollouts.Stage.WITHDRAWN:
            is_over = stage_age_s > rollouts.WITHDRAWN_HOLD_S
            return Phase.ANY if is_over else Phase.OLD
        if rollout.is_final or self._is_unheard(rollout, now):
            return Phase.OLD
        is_shift = rollout.stage is rollouts.Stage.SHIFT
        if is_shift and stage_age_s >= rollouts.TRIAL_S:
            return Phase.NEW
        return Phase.SHARED

    def list_targets(
        self,
        criteria: placement.Criteria,
        views: Mapping[model.Address, placement.TargetView],
        now: float,
    ) -> Collection[placement.TargetView]:
        """Returns the targets of a service that a call may be sent to."""
        phase = self.get_phase(criteria.service, now)
        plan = self._find_plan(criteria.service, views, phase, now)
        if phase is Phase.ANY:
            return plan.old
        if phase is Phase.OLD:
            return plan.old or plan.new
        if phase is Phase.NEW:
            return plan.new or plan.old
        if not criteria.is_first:
            return plan.old or plan.new
        share = self._get_share(criteria.service)
        is_new = self._is_exposed(criteria.service, share)
        self.counts[criteria.service, "new" if is_new else "old"] += 1
        if not is_new or not plan.new:
            return plan.old or plan.new
        return self._list_canaries(criteria.service, plan, share, now)

    def peek_targets(
        self,
        service: str,
        views: Mapping[model.Address, placement.TargetView],
        now: float,
    ) -> Collection[placement.TargetView]:
        """Returns the targets that calls may be sent to, and counts none.

        While releases share the calls, these are the targets of both.
        """
        phase = self.get_phase(service, now)
        plan = self._get_current_plan(service, views, phase, now)
        if plan is None:
            plan = self._make_plan(service, views, phase, now)
        if phase is Phase.NEW:
            return plan.new or plan.old
        if phase is not Phase.SHARED or not plan.new:
            return plan.old or plan.new
        share = self._get_share(service)
        return [*plan.old, *self._list_canaries(service, plan, share, now)]

    def _is_unheard(self, rollout: rollouts.Rollout, now: float) -> bool:
        """Returns whether a rollback would not be heard of, or is due."""
        if now - rollout.started_at > rollout.order.duration_s:
            return True
        heard_at = self.announced_at.get(rollout.order.service, -_FOREVER)
        return now - heard_at > ANNOUNCEMENT_AGE_S

    def _get_share(self, service: str) -> float:
        if self.states[service].stage is rollouts.Stage.SHIFT:
            return rollouts.TRIAL_SHARE
        return rollouts.SHARE_USED * self.expose_share

    def _is_exposed(self, service: str, share: float) -> bool:
        """Returns whether the next call goes to the new release."""
        balance = self._balances.get(service)
        if balance is None:
            balance = self.rng.random()
        balance += share
        is_exposed = balance >= 1.0
        self._balances[service] = balance - is_exposed
        return is_exposed

    def _list_canaries(
        self, service: str, plan: _Plan, share: float, now: float
    ) -> Collection[placement.TargetView]:
        """Returns the targets of the new release whose turn it is.

        They are as few as carry the load of a target of the old release each.
        """
        rollout = self.states[service]
        count = max(1, round(share * len(plan.old)))
        pool = plan.new[: max(MIN_CANARIES, count)]
        turn = int((now - rollout.started_at) / TURN_S)
        first = turn * count % len(pool)
        ordered = [*pool[first:], *pool[:first]]
        return ordered[:count]

    def _find_plan(
        self,
        service: str,
        views: Mapping[model.Address, placement.TargetView],
        phase: Phase,
        now: float,
    ) -> _Plan:
        plan = self._get_current_plan(service, views, phase, now)
        if plan is None:
            for view in views.values():
                view.seen_at = min(view.seen_at, now)
            plan = self._make_plan(service, views, phase, now)
            self._plans[service] = plan
        return plan

    def _get_current_plan(
        self,
        service: str,
        views: Mapping[model.Address, placement.TargetView],
        phase: Phase,
        now: float,
    ) -> _Plan | None:
        """Returns the last plan of a service if it still applies."""
        rollout = self._get_rollout(service, phase)
        revision = rollout.order.revision if rollout is not None else 0
        barred = rollout.barred if rollout is not None else ()
        plan = self._plans.get(service)
        if (
            plan is not None
            and plan.views is views
            and plan.revision == revision
            and plan.barred == barred
            and now < plan.expires_at
        ):
            return plan
        return None

    def _make_plan(
        self,
        service: str,
        views: Mapping[model.Address, placement.TargetView],
        phase: Phase,
        now: float,
    ) -> _Plan:
        listed = list(views.values())
        rollout = self._get_rollout(service, phase)
        if rollout is not None:
            return _plan_order(rollout, views, listed)
        hold_s = HOLD_S if self.has_store else BLIND_HOLD_S
        return _plan_without_order(views, listed, hold_s, now)

    def _get_rollout(
        self, service: str, phase: Phase
    ) -> rollouts.Rollout | None:
        return self.states.get(service) if phase is not Phase.ANY else None


def _plan_order(
    rollout: rollouts.Rollout,
    views: Mapping[model.Address, placement.TargetView],
    listed: Sequence[placement.TargetView],
) -> _Plan:
    release = rollout.order.release
    new = [view for view in listed if view.target.release == release]
    other = [view for view in listed if view.target.release != release]
    allowed = [
        view for view in other if view.target.release not in rollout.barred
    ]
    revision = rollout.order.revision
    new.sort(key=lambda view: _hash_target(revision, view.target))
    return _Plan(
        views, revision, rollout.barred, _FOREVER, allowed or other, new
    )


def _plan_without_order(
    views: Mapping[model.Address, placement.TargetView],
    listed: Sequence[placement.TargetView],
    hold_s: float,
    now: float,
) -> _Plan:
    """Holds back targets of another release until an order could be heard."""
    release = _find_release([view.target for view in listed])
    usable: list[placement.TargetView] = []
    expires_at = _FOREVER
    for view in listed:
        if view.target.release == release or now - view.seen_at >= hold_s:
            usable.append(view)
        else:
            expires_at = min(expires_at, view.seen_at + hold_s)
    return _Plan(views, 0, (), expires_at, usable)


def _find_release(targets: Sequence[directory.TargetRecord]) -> str:
    """Returns the release of a service: the earliest, or that of most targets.

    The targets of an order are as many as those that they replace.
    """
    if not targets:
        return ""
    earliest = min(targets, key=lambda target: target.born_ms).release
    counts = collections.Counter(target.release for target in targets)
    [(most, count)] = counts.most_common(1)
    return most if count > MAJORITY * counts[earliest] else earliest


def _hash_target(revision: int, target: directory.TargetRecord) -> bytes:
    text = f"{revision}/{target.target_id}/{target.born_ms}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
