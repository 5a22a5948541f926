"""Reports of the requests of organisations, and the limits that follow.

Decisions are in `filbertlift_mesh.admissions` and `filbertlift_mesh.quotas`;
this module sends, receives and keeps the time.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import Final

import attrs
import prometheus_client as prometheus
from twisted.internet import task

from filbertlift_core import model
from filbertlift_mesh import accounts
from filbertlift_mesh import admissions
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_mesh import owners
from filbertlift_mesh import quotas
from filbertlift_mesh import tenants
from filbertlift_sidecar import datagrams
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import loops

# Interval at which reports and announcements that are due are sent, in seconds.
TICK_S: Final = 0.1
# Organisations in one datagram, so that it stays well below 64 KB.
MAX_ROWS: Final = 250


@attrs.frozen
class QuotaEvents:
    """Callbacks of the quotas.

    Attributes:
        send_report: sends a report to an owner.
        send_verdict: sends the verdict of this host as an owner.
    """

    send_report: Callable[[model.Address, quotas.Report], None]
    send_verdict: Callable[[model.Address, quotas.Verdict], None]


@attrs.frozen
class QuotaMeters:
    """Metrics of the quotas.

    Attributes:
        refused: requests over their limit by organisation.
        fraction: fraction of arrivals that this host admits, by organisation;
            only those that are limited.
        owned: organisations that report to this host.
        limited: those of them that are limited.
    """

    refused: prometheus.Counter
    fraction: prometheus.Gauge
    owned: prometheus.Gauge
    limited: prometheus.Gauge

    @classmethod
    def create(cls, registry: prometheus.CollectorRegistry) -> "QuotaMeters":
        """Returns new metrics in a registry."""
        return cls(
            prometheus.Counter(
                "filbertlift_over_quota",
                "Requests refused over the limit of their organisation",
                ["organisation"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_quota_fraction",
                "Fraction of arrivals admitted, of limited organisations",
                ["organisation"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_quota_owned",
                "Organisations that report to this host",
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_quota_limited",
                "Organisations that this host limits as their owner",
                registry=registry,
            ),
        )


@attrs.define(eq=False)
class Quotas:
    """Limits on the requests of organisations, as a host and as an owner."""

    reactor: Any
    table: directory.Directory
    bounds: quotas.Bounds
    events: QuotaEvents
    log: eventlog.EventLog
    meters: QuotaMeters
    rng: random.Random
    _limits: dict[str, tenants.Organisation] = attrs.field(factory=dict)
    _owner: quotas.Owner = attrs.field(init=False)
    _admissions: admissions.Admissions = attrs.field(init=False)
    _loop: task.LoopingCall = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        own = self.table.own
        self._owner = quotas.Owner(
            own.incarnation_ms, self.bounds, owners.View(own.address)
        )
        self._admissions = admissions.Admissions(own.incarnation_ms, self.rng)
        self._loop = task.LoopingCall(
            loops.guard(
                self._run_tick,
                lambda error: self.log.log_request("quotas.fault", error=error),
            )
        )
        self._loop.clock = self.reactor

    def put_in_force(self, version: configuration.Configuration) -> None:
        """Applies the limits of a version; without any, nothing is sent."""
        entries = version.tenants.entries if version.tenants is not None else ()
        self._limits = {
            entry.organisation.name: entry.organisation
            for entry in entries
            if entry.organisation.rate_per_s > 0
        }
        self._owner.set_limits(self._limits, self.reactor.seconds())
        self._admissions.set_limits(self._limits)
        self.refresh()
        if self._limits and not self._loop.running:
            self._loop.start(TICK_S, now=False)
        elif not self._limits:
            self.close()

    def close(self) -> None:
        """Stops sending."""
        if self._loop.running:
            self._loop.stop()

    def admit(
        self, organisation: tenants.Organisation
    ) -> accounts.Token | admissions.Refused | None:
        """Admits or refuses a request; None if there is no limit."""
        limit = self._limits.get(organisation.name)
        if limit is None:
            return None
        result = self._admissions.admit(limit, self.reactor.seconds())
        if self._admissions.has_urgent:
            self._send_reports()
        if isinstance(result, admissions.Refused):
            self.meters.refused.labels(organisation.name).inc()
        return result

    def receive(self, peer: model.Address, message: datagrams.Datagram) -> None:
        """Handles a datagram of a peer."""
        if message.report is not None:
            self._receive_report(peer, message.report)
        elif message.verdict is not None:
            self._receive_verdict(peer, message.verdict)

    def refresh(self) -> None:
        """Applies the current records of hosts."""
        now = self.reactor.seconds()
        if self._limits:
            self._apply_hosts(now)
        self._show_state(now)

    def _apply_hosts(self, now: float) -> None:
        own = self.table.own
        if own.incarnation_ms != self._owner.incarnation_ms:
            self._owner.incarnation_ms = own.incarnation_ms
            self._admissions.renew(own.incarnation_ms, now)
        live = [*self.table.list_live(now), own]
        known = len(live) + len(self.table.list_silent(now))
        candidates = tuple(owners.choose_candidates(live))
        self._owner.refresh(
            owners.View(own.address, candidates, len(live), known), now
        )
        self._admissions.set_hosts(candidates, known, now)

    def _show_state(self, now: float) -> None:
        """Sets the metrics."""
        self.meters.owned.set(self._owner.owned)
        self.meters.limited.set(len(self._owner.limited))
        self.meters.fraction.clear()
        for name, fraction in self._admissions.get_fractions(now).items():
            self.meters.fraction.labels(name).set(fraction)

    def _run_tick(self) -> None:
        self._send_reports()
        now = self.reactor.seconds()
        started, ended, is_announced = self._owner.update(now)
        for name in started:
            self.log.log(
                "quotas.limited",
                organisation=name,
                fraction=self._owner.get_fraction(name, now),
            )
        for name in ended:
            self.log.log("quotas.unlimited", organisation=name)
        if is_announced:
            self._announce(now)

    def _announce(self, now: float) -> None:
        """Sends the fractions to the other hosts, or to some of many."""
        live = self.table.list_live(now)
        if len(live) > quotas.ANNOUNCED_HOSTS:
            live = self.rng.sample(live, quotas.ANNOUNCED_HOSTS)
        for address in (*(record.address for record in live), self._own):
            self._send_verdict(address)

    @property
    def _own(self) -> model.Address:
        return self.table.own.address

    def _send_reports(self) -> None:
        for owner, report in self._admissions.make_reports(
            self.reactor.seconds()
        ):
            if owner.address == self._own:
                self._receive_report(self._own, report)
                continue
            rows = report.rows
            for start in range(0, max(1, len(rows)), MAX_ROWS):
                part = rows[start : start + MAX_ROWS]
                self.events.send_report(
                    owner.address, attrs.evolve(report, rows=part)
                )

    def _receive_report(
        self, peer: model.Address, report: quotas.Report
    ) -> None:
        if self._owner.note_report(peer, report, self.reactor.seconds()):
            self._send_verdict(peer)

    def _send_verdict(self, peer: model.Address) -> None:
        verdict = self._owner.make_verdict(peer, self.reactor.seconds())
        if peer == self._own:
            self._receive_verdict(peer, verdict)
        else:
            self.events.send_verdict(peer, verdict)

    def _receive_verdict(
        self, peer: model.Address, verdict: quotas.Verdict
    ) -> None:
        self._admissions.note_verdict(peer, verdict, self.reactor.seconds())
