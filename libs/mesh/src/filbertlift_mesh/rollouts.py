"""Roll-outs of new releases: orders, stages, their merge, and the decision.

An operator orders that a service moves to a new release by a deadline. Each
watching host decides by the same rule over the same evidence. No leader is
elected: stages only advance, hosts merge them by the revision of the order, and
a final state that is confirmed in the store takes precedence over any other.
"""

import enum
from typing import Final

import attrs

from filbertlift_mesh import evidence

# Part of the allowed share of calls that is used, so that the last calls before
# a rollback stay within it.
SHARE_USED: Final = 0.8
# Part of an order's duration after which the shift starts. Most of the time
# goes to the canary, since a release may become bad late.
CANARY_PART: Final = 0.64
# Shortest time of the canary at a host that heard of the order late, in
# seconds.
MIN_CANARY_S: Final = 2.5
# Time at the start of the shift in which only a share of the calls moves, to
# few targets that carry a full load each, in seconds, and that share. It shows
# a release that is bad under load.
TRIAL_S: Final = 1.0
TRIAL_SHARE: Final = 0.25
# Time for which all calls go to the new release before the order is completed,
# in seconds; longer than calls usually run.
SETTLE_S: Final = 1.2
# Time before the deadline at which the order is completed even if runs are
# reported at the other releases, in seconds. It leaves time for the status.
FINISH_MARGIN_S: Final = 1.2
# Least time that the shift takes, in seconds.
MIN_SHIFT_S: Final = TRIAL_S + SETTLE_S
# Least time of an order that was heard of late, in seconds.
MIN_ORDER_S: Final = MIN_CANARY_S + MIN_SHIFT_S + FINISH_MARGIN_S + 0.1
# Time between the end of the canary and the latest one, in seconds.
DECISION_MARGIN_S: Final = 0.5
# Multiple of an order's duration after which one that may be that old counts as
# expired at once.
EXPIRED_PART: Final = 2.0
# Time after the deadline at which an order without a decision expires, in
# seconds, so that a decision of other hosts can arrive.
EXPIRY_GRACE_S: Final = 1.0
# Runs of the other releases after which a new release without runs counts as
# one that does not work, and the runs that it needs.
BUSY_RUNS: Final = 200
MIN_NEW_RUNS: Final = 5
# Time for which calls are kept away from the other releases after an order is
# completed, in seconds. Their targets have stopped by then.
COMPLETED_HOLD_S: Final = 10.0
# Time for which the release of a withdrawn order gets no calls, in seconds, so
# that its targets can leave.
WITHDRAWN_HOLD_S: Final = 60.0
# Releases of earlier orders that are kept away from calls at once.
MAX_BARRED: Final = 8

NO_TARGETS: Final = "no targets of the release"
NO_RUNS: Final = "no runs of the release"
EXPIRED: Final = "expired"
WITHDRAWN: Final = "withdrawn"
UNKNOWN_AGE: Final = "order of unknown age"
STORED: Final = "final state in the store"
ON_TIME: Final = "no fault found"


class Stage(enum.IntEnum):
    """Stage of an order; it only increases.

    CANARY: a small share of the calls goes to the new release.
    SHIFT: the calls move to the new release.
    EXPIRED: as `ROLLED_BACK`, since the deadline passed without a decision. A
        host that was cut off decides this too, so it gives way to `COMPLETED`.
    COMPLETED: all calls go to the new release.
    ROLLED_BACK: no calls go to the new release.
    WITHDRAWN: as `ROLLED_BACK`, and for a limited time: the order is deleted.
    """

    CANARY = 0
    SHIFT = 1
    EXPIRED = 2
    COMPLETED = 3
    ROLLED_BACK = 4
    WITHDRAWN = 5


class Status(enum.Enum):
    """State of an order in the store."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen
class Order:
    """Order of an operator.

    Attributes:
        service: the service.
        release: the release that it moves to.
        duration_s: time from the order to its deadline, in seconds.
        revision: revision of the order in the store.
    """

    service: str
    release: str
    duration_s: float
    revision: int

    def is_repeated_by(self, other: "Order") -> bool:
        """Returns whether another order asks for the same."""
        return attrs.evolve(other, revision=self.revision) == self


@attrs.frozen
class Rollout:
    """What a host knows of an order. Times are in seconds on its own clock.

    Attributes:
        order: the order.
        stage: its stage.
        started_at: when the order was written, as far as known.
        stage_at: when the stage began.
        reason: why the stage was entered.
        is_announced: whether the store shows that the order runs.
        is_written: whether the store shows the final state.
        barred: releases of earlier orders that were not completed.
    """

    order: Order
    stage: Stage
    started_at: float
    stage_at: float
    reason: str = ""
    is_announced: bool = False
    is_written: bool = False
    barred: tuple[str, ...] = ()

    @property
    def is_final(self) -> bool:
        """Whether the stage is one of those after `SHIFT`."""
        return self.stage >= Stage.EXPIRED

    @property
    def rank(self) -> tuple[int, bool, int, bool]:
        """Of two states of a service's orders, the greater rank holds."""
        return (
            self.order.revision,
            self.is_written,
            int(self.stage),
            self.is_announced,
        )

    @property
    def status(self) -> Status:
        """The state that the store should show."""
        if self.stage is Stage.COMPLETED:
            return Status.COMPLETED
        return Status.ROLLED_BACK if self.is_final else Status.RUNNING

    @property
    def needs_write(self) -> bool:
        """Whether the store does not show the state yet."""
        if self.is_final:
            return not self.is_written
        return not self.is_announced

    def move_times(self, offset_s: float) -> "Rollout":
        """Returns the state with all its times moved by some seconds."""
        return attrs.evolve(
            self,
            started_at=self.started_at + offset_s,
            stage_at=self.stage_at + offset_s,
        )

    def enter(self, stage: Stage, reason: str, now: float) -> "Rollout":
        """Returns the state at the start of a later stage."""
        return attrs.evolve(self, stage=stage, stage_at=now, reason=reason)

    def carry_over(self, order: Order) -> "Rollout":
        """Returns the state of the same order in a store that has lost it.

        The store may have lost the status as well.
        """
        return attrs.evolve(
            self, order=order, is_announced=False, is_written=False
        )

    def withdraw(self, now: float) -> "Rollout":
        """Returns the state after the order was deleted."""
        if self.stage in (Stage.COMPLETED, Stage.WITHDRAWN):
            return self
        return self.enter(Stage.WITHDRAWN, WITHDRAWN, now)

    def note_status(self, status: Status, now: float) -> "Rollout":
        """Returns the state after the store showed a status of this order."""
        if status is Status.RUNNING:
            return attrs.evolve(self, is_announced=True)
        if status is self.status:
            return attrs.evolve(self, is_written=True)
        stage = (
            Stage.COMPLETED if status is Status.COMPLETED else Stage.ROLLED_BACK
        )
        return attrs.evolve(self.enter(stage, STORED, now), is_written=True)


def start_order(order: Order, max_age_s: float, now: float) -> Rollout:
    """Returns the state of an order that this host hears of.

    Args:
        order: the order.
        max_age_s: time since the store last showed no order, in seconds. An
            order that may be old is carried out in the shortest time.
        now: current time, in seconds.
    """
    duration_s = order.duration_s
    if max_age_s >= EXPIRED_PART * duration_s:
        started = Rollout(order, Stage.CANARY, now - max_age_s, now)
        return started.enter(Stage.EXPIRED, EXPIRED, now)
    age_s = min(max_age_s, max(0.0, duration_s - MIN_ORDER_S))
    return Rollout(order, Stage.CANARY, now - age_s, now)


def merge(held: Rollout | None, received: Rollout) -> Rollout:
    """Returns what holds of two states of a service's orders.

    A newer order replaces an older one, whatever its stage.
    """
    if held is None:
        return received
    if received.order.revision != held.order.revision:
        newer, older = sorted(
            (received, held), key=lambda item: -item.order.revision
        )
        return _bar_earlier(newer, older)
    best, other = (
        (received, held) if received.rank > held.rank else (held, received)
    )
    stage_at = best.stage_at
    if best.stage is other.stage:
        stage_at = min(best.stage_at, other.stage_at)
    return attrs.evolve(
        best,
        started_at=min(held.started_at, received.started_at),
        stage_at=stage_at,
        is_announced=held.is_announced or received.is_announced,
        barred=_list_barred([*held.barred, *received.barred]),
    )


def _bar_earlier(newer: Rollout, older: Rollout) -> Rollout:
    """Keeps the release of an earlier order without calls, unless it is used.

    Its evidence ended with its order.
    """
    barred = list(newer.barred)
    if older.stage is not Stage.COMPLETED:
        barred += [*older.barred, older.order.release]
    kept = [name for name in barred if name != newer.order.release]
    return attrs.evolve(newer, barred=_list_barred(kept))


def _list_barred(names: list[str]) -> tuple[str, ...]:
    return tuple(sorted(set(names))[:MAX_BARRED])


@attrs.frozen
class Decision:
    """A stage to enter, and why."""

    stage: Stage
    reason: str


def decide(
    rollout: Rollout,
    findings: evidence.Findings,
    has_targets: bool,
    now: float,
) -> Decision | None:
    """Returns the stage that an order enters now, or None.

    Args:
        rollout: the order.
        findings: what its evidence shows.
        has_targets: whether the new release has targets.
        now: current time, in seconds.
    """
    if rollout.is_final:
        return None
    if findings.fault:
        return Decision(Stage.ROLLED_BACK, findings.fault)
    late_s = now - rollout.started_at - rollout.order.duration_s
    if late_s > EXPIRY_GRACE_S:
        return Decision(Stage.EXPIRED, EXPIRED)
    if late_s > 0:
        return None
    if rollout.stage is Stage.CANARY:
        return _decide_canary(rollout, findings, has_targets, now)
    return _decide_shift(rollout, findings, has_targets, now)


def _decide_canary(
    rollout: Rollout,
    findings: evidence.Findings,
    has_targets: bool,
    now: float,
) -> Decision | None:
    duration_s = rollout.order.duration_s
    longest_s = duration_s - MIN_SHIFT_S - FINISH_MARGIN_S
    latest_at = rollout.started_at + longest_s
    # A short order leaves the shift its time.
    canary_s = min(CANARY_PART * duration_s, longest_s - DECISION_MARGIN_S)
    due_at = max(rollout.started_at + canary_s, rollout.stage_at + MIN_CANARY_S)
    if due_at > latest_at:
        return Decision(Stage.EXPIRED, EXPIRED)
    is_last = now >= latest_at
    if not has_targets:
        return Decision(Stage.ROLLED_BACK, NO_TARGETS) if is_last else None
    # A host that gets no reports is cut off, and leaves the decision to others.
    if now < due_at or not findings.new_targets:
        return None
    is_busy = findings.old_runs >= BUSY_RUNS
    if is_busy and findings.new_runs < MIN_NEW_RUNS:
        return Decision(Stage.ROLLED_BACK, NO_RUNS) if is_last else None
    return Decision(Stage.SHIFT, ON_TIME)


def _decide_shift(
    rollout: Rollout,
    findings: evidence.Findings,
    has_targets: bool,
    now: float,
) -> Decision | None:
    if not has_targets:
        return Decision(Stage.ROLLED_BACK, NO_TARGETS)
    # As in the canary, a host that gets no reports leaves the decision.
    if not findings.new_targets:
        return None
    left_s = rollout.started_at + rollout.order.duration_s - now
    if left_s <= FINISH_MARGIN_S:
        return Decision(Stage.COMPLETED, ON_TIME)
    if now - rollout.stage_at < MIN_SHIFT_S or findings.old_running:
        return None
    return Decision(Stage.COMPLETED, ON_TIME)
