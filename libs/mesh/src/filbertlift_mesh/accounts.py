"""Requests of one organisation at one host, and the exchange with its owner."""

from collections.abc import Mapping
import math
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import quotas
from filbertlift_mesh import tenants

# Time for which a fraction holds without a further answer, in seconds.
FRACTION_TIMEOUT_S: Final = 5.0
# Arrivals that are reported at once: a multiple of the usual, and a number.
JUMP_RATIO: Final = 2.0
JUMP_COUNT: Final = 4
# What is admitted of a jump before the owner has answered: a multiple of the
# usual, the limit's tokens of this time, in seconds, and a number.
GUARD_RATIO: Final = 3.0
GUARD_S: Final = 0.4
GUARD_COUNT: Final = 5.0
# Time without an answer after which a host is bounded by its part of a limit,
# in seconds.
UNANSWERED_S: Final = 0.3
# Time after a change of owner, in seconds, in which the fraction of the one
# before also holds, and the multiple of the usual rate that a host admits. The
# new one has to hear of all hosts first.
KEEP_S: Final = 1.0
KEPT_RATIO: Final = 1.5
# Time constant of the usual rate of arrivals, in seconds.
USUAL_WINDOW_S: Final = 2.0
# Lowest balance of fractions; it bounds for how long a host that got fewer
# arrivals than usual admits less of those that follow.
MIN_BALANCE: Final = -1.0
# Requests that may be due by the usual rate of arrivals.
MAX_CREDIT: Final = 2.0


@attrs.frozen
class OwnerKey:
    """One incarnation of an owner."""

    address: model.Address
    incarnation_ms: int


@attrs.define(eq=False)
class Session:
    """Exchange with an owner.

    Attributes:
        owner: the owner.
        reported_at: time of the last report, in seconds.
        answered_at: time of the last answer, in seconds.
        asked_at: time of the first unanswered question, in seconds.
        asks: number of unanswered questions.
        is_urgent: whether a report is due at once.
        fractions: fractions of arrivals to admit, by the organisation's name.
    """

    owner: OwnerKey
    reported_at: float = -math.inf
    answered_at: float = -math.inf
    asked_at: float | None = None
    asks: int = 0
    is_urgent: bool = False
    fractions: Mapping[str, float] = attrs.field(factory=dict)

    def expect_answer(self, now: float) -> None:
        """Asks an owner that replaces a lost one, and does not wait for it."""
        if self.answered_at < 0.0 and self.asked_at is None:
            self.asked_at = now - UNANSWERED_S

    def is_unanswered(self, now: float) -> bool:
        """Returns whether the owner seems not to answer."""
        return self.asked_at is not None and (
            now - self.asked_at >= UNANSWERED_S
        )


@attrs.define(eq=False)
class Account:
    """Requests of one organisation at this host.

    Attributes:
        limit: the organisation.
        session: exchange with its owner; None if no host answers.
        epoch: grows with each owner, since counts start anew.
        arrivals: arrivals in this epoch.
        admitted: admissions in this epoch, without those taken back.
        reported: arrivals that were reported.
        reported_admitted: admissions that were reported.
        usual_per_s: average rate of arrivals.
        answered: arrivals and admissions that were reported before the owner's
            last answer, and its time, in seconds.
        kept_until: until when a higher fraction does not hold, in seconds.
        counted_at: time until which the average counts, in seconds.
        fraction: fraction of arrivals to admit.
        fraction_until: when the fraction ends, in seconds.
        balance: fractions of requests that are due.
        credit: requests that are due by the usual rate of arrivals, should
            there be fewer now.
        guard: requests that may be admitted without an answer.
        guarded_at: time of `guard`, in seconds.
        arrived_at: time of the last arrival, in seconds.
    """

    limit: tenants.Organisation
    session: Session | None
    epoch: int
    balance: float
    guarded_at: float
    counted_at: float
    arrived_at: float
    answered: tuple[int, int, float]
    kept_until: float = -math.inf
    guard: float = 0.0
    credit: float = 0.0
    arrivals: int = 0
    admitted: int = 0
    reported: int = 0
    reported_admitted: int = 0
    usual_per_s: float = 0.0
    fraction: float = 1.0
    fraction_until: float = 0.0

    def restart(self, epoch: int, now: float) -> None:
        """Starts to count anew.

        The counts begin with what the owner may not have heard of: the arrivals
        that make its average that of this host, and admissions over the usual.
        """
        arrivals, admitted, answered_at = self.answered
        elapsed_s = max(now - answered_at, quotas.ARRIVALS_WINDOW_S)
        share = quotas.ARRIVALS_WINDOW_S / elapsed_s
        over = self.admitted - admitted - self.usual_per_s * elapsed_s
        self.epoch = epoch
        self.arrivals = round((self.arrivals - arrivals) * share)
        self.admitted = max(0, round(over))
        self.reported = 0
        self.reported_admitted = 0
        self.answered = (0, 0, now)

    def change_owner(
        self, session: Session | None, epoch: int, now: float
    ) -> None:
        """Starts to report to another owner."""
        self.session = session
        self.kept_until = now + KEEP_S
        self.restart(epoch, now)

    def make_row(self, now: float) -> quotas.Row:
        """Returns what to report, and counts it as reported."""
        elapsed_s = now - self.counted_at
        if elapsed_s > 0.0 and not self._is_waiting(now):
            rate = (self.arrivals - self.reported) / elapsed_s
            gain = 1.0 - math.exp(-elapsed_s / USUAL_WINDOW_S)
            self.usual_per_s += gain * (rate - self.usual_per_s)
        self.counted_at = now
        self.reported = self.arrivals
        self.reported_admitted = self.admitted
        return quotas.Row(
            self.limit.name, self.epoch, self.arrivals, self.admitted
        )

    def _is_waiting(self, now: float) -> bool:
        """Returns whether an earlier report has not been answered.

        What arrives then may be a jump, which must not count as usual.
        """
        asked_at = self.session.asked_at if self.session is not None else None
        return asked_at is not None and asked_at < now

    def is_limited(self, now: float) -> bool:
        """Returns whether a fraction below 1 holds."""
        return self.fraction < 1.0 and now < self.fraction_until

    def has_jumped(self, now: float) -> bool:
        """Returns whether far more than usual arrived since the last report."""
        usual = self.usual_per_s * (now - self.counted_at)
        new = self.arrivals - self.reported
        return new > JUMP_RATIO * usual + JUMP_COUNT

    def take(self, hosts: int, now: float) -> bool:
        """Returns whether to admit an arrival."""
        elapsed_s = now - self.arrived_at
        self.arrived_at = now
        self._refill_guard(hosts, now)
        if self.guard < 1.0:
            return False
        if self.is_limited(now):
            credit_per_s = self.fraction * self.usual_per_s
            self.credit = min(
                MAX_CREDIT, self.credit + elapsed_s * credit_per_s
            )
            self.balance += self.fraction
            if self.balance < 1.0 and self.credit < 1.0:
                return False
            self.balance = max(MIN_BALANCE, self.balance - 1.0)
            self.credit = max(0.0, self.credit - 1.0)
        self.guard -= 1.0
        return True

    def note_fraction(self, fraction: float, now: float) -> None:
        """Applies the verdict of the owner."""
        if self.is_limited(now) and now < self.kept_until:
            fraction = min(fraction, self.fraction)
        self.fraction = fraction
        self.fraction_until = now + FRACTION_TIMEOUT_S
        self.answered = (self.reported, self.reported_admitted, now)
        if now >= self.kept_until:
            self.guard = GUARD_S * self.limit.rate_per_s + GUARD_COUNT
            self.guarded_at = now

    def _refill_guard(self, hosts: int, now: float) -> None:
        elapsed_s = now - self.guarded_at
        self.guarded_at = now
        limit = self.limit
        rate_per_s = limit.rate_per_s / hosts
        if self.session is None:
            capacity = max(1.0, limit.burst / hosts)
            self.guard = min(self.guard, capacity)
        else:
            usual_per_s = self.usual_per_s
            capacity = 1.0 + UNANSWERED_S * (rate_per_s + usual_per_s)
            if now < self.kept_until:
                rate_per_s += KEPT_RATIO * usual_per_s
            elif not self.session.is_unanswered(now):
                capacity = GUARD_S * limit.rate_per_s + GUARD_COUNT
                rate_per_s += GUARD_RATIO * usual_per_s
        self.guard = min(capacity, self.guard + elapsed_s * rate_per_s)


@attrs.frozen
class Token:
    """An admission, which is taken back if the request has not run."""

    account: Account
    epoch: int

    def give_back(self) -> None:
        """Takes the admission back."""
        if self.account.epoch == self.epoch:
            self.account.admitted -= 1
            self.account.guard += 1.0
