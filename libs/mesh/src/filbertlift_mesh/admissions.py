"""Limits on the requests of organisations: the part of each host.

A host counts the requests of each organisation, reports them to its owner, see
`filbertlift_mesh.quotas`, and admits the fraction that the owner tells. Since
an owner is silent while nothing is limited, a host bounds a jump by itself
until the owner has answered.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import random
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import accounts
from filbertlift_mesh import directory
from filbertlift_mesh import owners
from filbertlift_mesh import quotas
from filbertlift_mesh import tenants

# Interval of reports, and of those about limited organisations, in seconds.
REPORT_INTERVAL_S: Final = 0.5
LIMITED_INTERVAL_S: Final = 0.25
# Least interval of reports to an owner, in seconds.
MIN_INTERVAL_S: Final = 0.1
# Interval at which an owner has to answer in any case, in seconds.
ASK_INTERVAL_S: Final = 2.0
# An owner is lost after this many reports that asked for an answer, and this
# time since the first of them, in seconds.
MAX_ASKS: Final = 8
ANSWER_TIMEOUT_S: Final = 0.8
# Time for which a lost owner is passed over, in seconds; it takes the directory
# as long to notice.
AVOID_S: Final = 8.0
# Time without arrivals after which the counts start anew, in seconds. It is
# shorter than `quotas.FORGET_S`.
IDLE_S: Final = 10.0
# Mean time between the attempts of a refused caller if all were admitted, and
# the limits of what a caller is told, in seconds.
RETRY_S: Final = 0.5
MIN_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 5.0


@attrs.frozen
class Refused:
    """A request is over the limit.

    Attributes:
        retry_after_s: expected time until it is admitted, in seconds.
    """

    retry_after_s: float


@attrs.define(eq=False)
class Admissions:
    """Admission of requests at this host.

    Attributes:
        incarnation_ms: incarnation of this host.
        rng: spreads the first admissions and the retries of callers.
        hosts: number of known hosts, among which a limit is divided while no
            owner answers.
        sessions: exchanges with the owners of the organisations seen here.
        has_urgent: whether a report is due before the next interval.
    """

    incarnation_ms: int
    rng: random.Random
    hosts: int = 1
    sessions: dict[accounts.OwnerKey, accounts.Session] = attrs.field(
        factory=dict
    )
    has_urgent: bool = False
    _candidates: list[directory.HostRecord] = attrs.field(factory=list)
    _accounts: dict[str, accounts.Account] = attrs.field(factory=dict)
    _avoided: dict[accounts.OwnerKey, float] = attrs.field(factory=dict)
    _epochs: int = 0

    def set_limits(self, limits: Mapping[str, tenants.Organisation]) -> None:
        """Applies the limits of a version."""
        for name, account in list(self._accounts.items()):
            if name in limits:
                account.limit = limits[name]
            else:
                del self._accounts[name]

    def renew(self, incarnation_ms: int, now: float) -> None:
        """Starts to count anew under another incarnation of this host."""
        self.incarnation_ms = incarnation_ms
        for account in self._accounts.values():
            account.restart(self._next_epoch(), now)

    def get_fractions(self, now: float) -> dict[str, float]:
        """Returns the fractions of the organisations that are limited."""
        return {
            name: account.fraction
            for name, account in self._accounts.items()
            if account.is_limited(now)
        }

    def set_hosts(
        self, candidates: Iterable[directory.HostRecord], hosts: int, now: float
    ) -> None:
        """Applies the hosts that may be owners, and the number of all hosts."""
        self.hosts = max(1, hosts)
        self._candidates = list(candidates)
        known = [
            accounts.OwnerKey(record.address, record.incarnation_ms)
            for record in self._candidates
        ]
        self.sessions = {
            owner: self.sessions.get(owner) or accounts.Session(owner)
            for owner in known
        }
        self._avoided = {
            owner: until
            for owner, until in self._avoided.items()
            if until > now
        }
        self._assign_owners(now)

    def admit(
        self, limit: tenants.Organisation, now: float
    ) -> accounts.Token | Refused:
        """Admits or refuses a request."""
        account = self._accounts.get(limit.name)
        if account is None:
            account = self._open_account(limit, now)
        elif now - account.arrived_at > IDLE_S:
            account.restart(self._next_epoch(), now)
        account.arrivals += 1
        session = account.session
        if session is not None and account.has_jumped(now):
            session.is_urgent = True
            self.has_urgent |= now - session.reported_at >= MIN_INTERVAL_S
        if not account.take(self.hosts, now):
            return Refused(self._estimate_retry(account, now))
        account.admitted += 1
        return accounts.Token(account, account.epoch)

    def make_reports(
        self, now: float
    ) -> list[tuple[accounts.OwnerKey, quotas.Report]]:
        """Returns the reports that are due, and counts them as sent."""
        self.has_urgent = False
        self._drop_lost_owners(now)
        reports: list[tuple[accounts.OwnerKey, quotas.Report]] = []
        by_owner: dict[accounts.OwnerKey, list[accounts.Account]] = {}
        for account in self._accounts.values():
            if account.session is not None:
                owner = account.session.owner
                by_owner.setdefault(owner, []).append(account)
        for owner, found in by_owner.items():
            report = self._make_report(self.sessions[owner], found, now)
            if report is not None:
                reports.append((owner, report))
        return reports

    def note_verdict(
        self, address: model.Address, verdict: quotas.Verdict, now: float
    ) -> None:
        """Applies what an owner tells this host."""
        owner = accounts.OwnerKey(address, verdict.owner_ms)
        session = self.sessions.get(owner)
        if session is None:
            return
        session.fractions = verdict.fractions
        session.answered_at = now
        session.asked_at = None
        session.asks = 0
        for name, account in self._accounts.items():
            if account.session is session:
                account.note_fraction(verdict.fractions.get(name, 1.0), now)

    def _open_account(
        self, limit: tenants.Organisation, now: float
    ) -> accounts.Account:
        account = accounts.Account(
            limit,
            self._find_session(limit.name),
            self._next_epoch(),
            self.rng.random(),
            now,
            now,
            now,
            (0, 0, now),
            guard=accounts.GUARD_S * limit.rate_per_s + accounts.GUARD_COUNT,
        )
        self._accounts[limit.name] = account
        session = account.session
        if session is not None and (
            now - session.answered_at < accounts.FRACTION_TIMEOUT_S
        ):
            fraction = session.fractions.get(limit.name, 1.0)
            account.note_fraction(fraction, now)
        return account

    def _next_epoch(self) -> int:
        self._epochs += 1
        return self._epochs

    def _find_session(self, name: str) -> accounts.Session | None:
        """Returns the exchange with the owner of an organisation."""
        for record in owners.order_owners(name, self._candidates):
            owner = accounts.OwnerKey(record.address, record.incarnation_ms)
            if owner not in self._avoided:
                return self.sessions[owner]
        return None

    def _assign_owners(self, now: float) -> None:
        for name, account in self._accounts.items():
            session = self._find_session(name)
            if session is not account.session:
                account.change_owner(session, self._next_epoch(), now)

    def _drop_lost_owners(self, now: float) -> None:
        lost = [
            owner
            for owner, session in self.sessions.items()
            if session.asked_at is not None
            and session.asks >= MAX_ASKS
            and now - session.asked_at >= ANSWER_TIMEOUT_S
        ]
        for owner in lost:
            self._avoided[owner] = now + AVOID_S
            self.sessions[owner] = accounts.Session(owner)
        if lost:
            self._assign_owners(now)
            for account in self._accounts.values():
                if account.session is not None:
                    account.session.expect_answer(now)

    def _make_report(
        self,
        session: accounts.Session,
        found: Iterable[accounts.Account],
        now: float,
    ) -> quotas.Report | None:
        elapsed_s = now - session.reported_at
        if elapsed_s < MIN_INTERVAL_S:
            return None
        changed = [
            account for account in found if account.arrivals != account.reported
        ]
        has_limited = any(account.is_limited(now) for account in changed)
        interval_s = LIMITED_INTERVAL_S if has_limited else REPORT_INTERVAL_S
        is_due = bool(changed) and elapsed_s >= interval_s
        if not (is_due or session.is_urgent or session.asked_at is not None):
            return None
        is_asking = (
            has_limited
            or session.is_urgent
            or session.asked_at is not None
            or now - session.answered_at >= ASK_INTERVAL_S
        )
        session.reported_at = now
        session.is_urgent = False
        if is_asking:
            session.asks += 1
            if session.asked_at is None:
                session.asked_at = now
        return quotas.Report(
            session.owner.incarnation_ms,
            self.incarnation_ms,
            is_asking,
            tuple(account.make_row(now) for account in changed),
        )

    def _estimate_retry(self, account: accounts.Account, now: float) -> float:
        """Returns a time after which a refused request should be admitted.

        Each attempt is admitted with the probability of the fraction.
        """
        fraction = account.fraction if account.is_limited(now) else 1.0
        spread = 0.5 + self.rng.random()
        wait_s = spread * RETRY_S / max(fraction, RETRY_S / MAX_RETRY_S)
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
