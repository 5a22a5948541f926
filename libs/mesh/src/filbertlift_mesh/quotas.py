"""Limits on the requests of organisations: the owner's part.

Each organisation has an owner among the hosts, to which the others report their
arrivals and admissions. The owner keeps one token bucket for the organisation,
which may go below zero, and tells the hosts the fraction of arrivals to admit.
What hosts admit in the meantime is in `filbertlift_mesh.admissions`.
"""

from collections.abc import Mapping
import math
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import owners
from filbertlift_mesh import tenants

# Time constant of the rate of arrivals, in seconds.
ARRIVALS_WINDOW_S: Final = 0.5
# Time in which the tokens of a bucket are used up, or its debt is made up for,
# in seconds.
LEVEL_WINDOW_S: Final = 0.75
# Share of the tolerance of a limit that is added to its bucket. The rest is for
# what hosts admit before they hear of the limit.
TOLERANCE_SHARE: Final = 0.5
# Least share of the limits that a host grants in place of an owner that seems
# to live, and time for which hosts that report to it count, in seconds.
MIN_SUBSTITUTE_SHARE: Final = 0.5
REPORTER_S: Final = 3.0
# Time after which a host that has not reported is forgotten, in seconds.
FORGET_S: Final = 30.0
# Time in which the bucket of a new owner keeps no more tokens than it began
# with, in seconds. Hosts still hold the fraction of the owner before, and the
# tokens that they don't use in that time make up for its debt.
START_S: Final = 1.2
# Time for which an organisation that was limited counts as limited, in seconds.
LIMITED_S: Final = 1.0
# Least time between two announcements of a limit, in seconds, and how far the
# fraction has to fall in between.
ANNOUNCE_INTERVAL_S: Final = 0.2
ANNOUNCE_RATIO: Final = 0.8
# Interval at which a limit is announced again, in seconds, and hosts to which
# it is; random ones if there are more.
REPEAT_INTERVAL_S: Final = 1.0
ANNOUNCED_HOSTS: Final = 200


@attrs.frozen
class Bounds:
    """Tolerance of the limits.

    In each window the requests of an organisation that run may exceed its limit
    by a share of it and a number of requests.

    Attributes:
        window_s: length of the window, in seconds.
        over: share of the limit.
        slack: number of requests.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0


@attrs.frozen
class Row:
    """Requests of one organisation at one host.

    Attributes:
        name: name of the organisation.
        epoch: grows when the host counts anew, since its owner is another one.
        arrivals: arrivals within the epoch.
        admitted: admissions within the epoch, without those taken back.
    """

    name: str
    epoch: int
    arrivals: int
    admitted: int


@attrs.frozen
class Report:
    """What a host reports to an owner.

    Attributes:
        owner_ms: incarnation of the owner that is meant.
        incarnation_ms: incarnation of the host.
        is_asking: whether the host needs an answer in any case.
        rows: organisations with new arrivals.
    """

    owner_ms: int
    incarnation_ms: int
    is_asking: bool
    rows: tuple[Row, ...]


@attrs.frozen
class Verdict:
    """What an owner tells a host.

    Attributes:
        owner_ms: incarnation of the owner.
        fractions: fraction of arrivals to admit, by the organisation's name;
            the others of this owner are not limited.
    """

    owner_ms: int
    fractions: Mapping[str, float]


@attrs.define(eq=False)
class Bucket:
    """Token bucket of one organisation at its owner.

    Attributes:
        rate_per_s: tokens that are added per second.
        capacity: highest number of tokens.
        level: number of tokens; negative if too much was admitted.
        arrivals_per_s: average rate of arrivals.
        updated_at: time of the values above, in seconds.
        start_level: highest number of tokens at the start.
        start_until: when the start ends, in seconds.
        limited_at: when it was last limited, in seconds.
        announced: the fraction that was last announced, and when, in seconds.
    """

    rate_per_s: float
    capacity: float
    level: float
    updated_at: float
    start_level: float = math.inf
    start_until: float = -math.inf
    arrivals_per_s: float = 0.0
    limited_at: float = -math.inf
    announced: tuple[float, float] = (1.0, -math.inf)

    def set_limit(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Applies another limit from now on."""
        self._advance(now)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def note(self, arrivals: int, admitted: int, now: float) -> None:
        """Counts requests that a host has reported."""
        self._advance(now)
        self.arrivals_per_s += arrivals / ARRIVALS_WINDOW_S
        self.level = min(self.capacity, self.level - admitted)

    def get_fraction(self, now: float) -> float:
        """Returns the fraction of arrivals to admit."""
        self._advance(now)
        allowed_per_s = self.rate_per_s + self.level / LEVEL_WINDOW_S
        if self.arrivals_per_s <= allowed_per_s:
            return 1.0
        self.limited_at = now
        return max(0.0, allowed_per_s / self.arrivals_per_s)

    def is_announced(self, fraction: float, now: float) -> bool:
        """Returns whether to announce a fraction to all hosts, and notes it."""
        last, announced_at = self.announced
        if fraction >= 1.0:
            if now - self.limited_at >= LIMITED_S:
                self.announced = (1.0, announced_at)
            return False
        has_fallen = fraction <= ANNOUNCE_RATIO * last
        age_s = now - announced_at
        interval_s = ANNOUNCE_INTERVAL_S if has_fallen else REPEAT_INTERVAL_S
        if age_s < interval_s:
            return False
        self.announced = (fraction, now)
        return True

    def _advance(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        capacity = self.capacity
        if now < self.start_until:
            capacity = min(capacity, self.start_level)
        self.level = min(capacity, self.level + elapsed_s * self.rate_per_s)
        self.arrivals_per_s *= math.exp(-elapsed_s / ARRIVALS_WINDOW_S)


@attrs.define(eq=False)
class _Reporter:
    """What a host has reported, by the organisation's name."""

    incarnation_ms: int
    heard_at: float
    rows: dict[str, Row] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Owner:
    """Buckets of the organisations that report to this host.

    Attributes:
        incarnation_ms: incarnation of this host.
        bounds: tolerance of the limits.
        view: what this host knows of the others.
        limited: names of the organisations that are limited.
    """

    incarnation_ms: int
    bounds: Bounds
    view: owners.View
    limited: set[str] = attrs.field(factory=set)
    _limits: Mapping[str, tenants.Organisation] = attrs.field(factory=dict)
    _buckets: dict[str, Bucket] = attrs.field(factory=dict)
    _reporters: dict[model.Address, _Reporter] = attrs.field(factory=dict)
    # Share of the limits that is granted in place of other owners.
    _substitute_share: float = MIN_SUBSTITUTE_SHARE

    def set_limits(
        self, limits: Mapping[str, tenants.Organisation], now: float
    ) -> None:
        """Applies the limits of a version."""
        self._limits = limits
        self.refresh(self.view, now)

    def refresh(self, view: owners.View, now: float) -> None:
        """Applies what this host knows of the others."""
        self.view = view
        for address, reporter in list(self._reporters.items()):
            if now - reporter.heard_at > FORGET_S:
                del self._reporters[address]
        substituted = {
            name for name in self._buckets if not view.is_first(name)
        }
        self._substitute_share = self._count_reporters(substituted, now)
        for name, bucket in list(self._buckets.items()):
            if name not in self._limits:
                del self._buckets[name]
                self.limited.discard(name)
                continue
            rate_per_s, capacity, _tolerance = self._get_limit(name)
            bucket.set_limit(rate_per_s, capacity, now)

    def note_report(
        self, address: model.Address, report: Report, now: float
    ) -> bool:
        """Counts the requests that a host reports.

        Returns:
            Whether the host needs a verdict.
        """
        if report.owner_ms != self.incarnation_ms:
            return False
        reporter = self._reporters.get(address)
        if reporter is None or (
            reporter.incarnation_ms < report.incarnation_ms
        ):
            reporter = _Reporter(report.incarnation_ms, now)
            self._reporters[address] = reporter
        if reporter.incarnation_ms > report.incarnation_ms:
            return False
        reporter.heard_at = now
        for row in report.rows:
            self._note_row(reporter, row, now)
        has_limited = any(name in self.limited for name in reporter.rows)
        return report.is_asking or has_limited

    def make_verdict(self, address: model.Address, now: float) -> Verdict:
        """Returns the verdict for a host."""
        reporter = self._reporters.get(address)
        names = set(self.limited)
        if reporter is not None:
            names.update(reporter.rows)
        fractions = {
            name: self._buckets[name].get_fraction(now)
            for name in names
            if name in self._buckets
        }
        return Verdict(
            self.incarnation_ms,
            {name: found for name, found in fractions.items() if found < 1.0},
        )

    def update(self, now: float) -> tuple[list[str], list[str], bool]:
        """Updates which organisations are limited.

        Returns:
            The names of those that are limited now and were not, of those that
            no longer are, and whether to announce the fractions.
        """
        started: list[str] = []
        ended: list[str] = []
        is_announced = False
        for name, bucket in self._buckets.items():
            fraction = bucket.get_fraction(now)
            if bucket.is_announced(fraction, now):
                is_announced = True
            is_limited = now - bucket.limited_at < LIMITED_S
            if is_limited and name not in self.limited:
                self.limited.add(name)
                started.append(name)
            elif not is_limited and name in self.limited:
                self.limited.discard(name)
                ended.append(name)
        return started, ended, is_announced

    @property
    def owned(self) -> int:
        """Number of organisations that have reported to this host."""
        return len(self._buckets)

    def get_fraction(self, name: str, now: float) -> float:
        """Returns the fraction of an organisation's arrivals to admit."""
        bucket = self._buckets.get(name)
        return bucket.get_fraction(now) if bucket is not None else 1.0

    def _note_row(self, reporter: _Reporter, row: Row, now: float) -> None:
        known = reporter.rows.get(row.name)
        if known is None or known.epoch < row.epoch:
            known = Row(row.name, row.epoch, 0, 0)
        is_outdated = known.epoch > row.epoch or row.arrivals < known.arrivals
        if is_outdated:
            return
        reporter.rows[row.name] = row
        if row.name not in self._limits:
            # The version with this organisation has not arrived yet.
            return
        bucket = self._buckets.get(row.name)
        if bucket is None:
            rate_per_s, capacity, tolerance = self._get_limit(row.name)
            # A new owner does not know what was admitted before.
            level = tolerance / 2
            bucket = Bucket(
                rate_per_s, capacity, level, now, level, now + START_S
            )
            self._buckets[row.name] = bucket
        bucket.note(
            row.arrivals - known.arrivals, row.admitted - known.admitted, now
        )

    def _get_limit(self, name: str) -> tuple[float, float, float]:
        """Returns the rate, the capacity and the tolerance within it."""
        limit = self._limits[name]
        bounds = self.bounds
        whole = limit.rate_per_s * bounds.window_s + limit.burst
        tolerance = TOLERANCE_SHARE * (bounds.over * whole + bounds.slack)
        share = owners.get_share(self.view.live, self.view.known)
        if not self.view.is_first(name):
            share = min(share, self._substitute_share)
        return (
            limit.rate_per_s * share,
            (limit.burst + tolerance) * share,
            tolerance * share,
        )

    def _count_reporters(self, names: set[str], now: float) -> float:
        """Returns the share of the hosts that report these organisations."""
        count = sum(
            now - reporter.heard_at <= REPORTER_S
            and not names.isdisjoint(reporter.rows)
            for reporter in self._reporters.values()
        )
        return max(MIN_SUBSTITUTE_SHARE, count / max(1, self.view.known))
