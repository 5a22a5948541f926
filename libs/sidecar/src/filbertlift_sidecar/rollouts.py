"""Roll-outs at a node: announces orders, collects evidence, applies decisions.

The watching hosts read orders from the store, announce their states to the
other hosts and decide; every host reports the runs of its target to them and
restricts its own calls. Decisions are in `filbertlift_mesh.rollouts`.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import task

from filbertlift_core import model
from filbertlift_mesh import announcements
from filbertlift_mesh import directory
from filbertlift_mesh import evidence
from filbertlift_mesh import exposure
from filbertlift_mesh import rollouts
from filbertlift_mesh import watchers
from filbertlift_sidecar import announcing
from filbertlift_sidecar import datagrams
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import loops
from filbertlift_sidecar import metrics
from filbertlift_sidecar import orderreader
from filbertlift_sidecar import orderwatch
from filbertlift_sidecar import rejections
from filbertlift_sidecar import statuswriter
from filbertlift_store import interface

# Interval of announcements, decisions and, during the shift, of reports, in
# seconds, and the interval of reports before it, in such steps.
STEP_S: Final = 0.25
CANARY_REPORT_STEPS: Final = 2
# Time for which a watching host collects reports before it decides, in seconds.
COLLECT_S: Final = 1.5
# Time since the last report of a target of the new release after which a
# watching host does not extend the exposure, in seconds.
EVIDENCE_AGE_S: Final = 1.5


@attrs.frozen
class RolloutEvents:
    """Callbacks of the roll-outs.

    Attributes:
        send_states: sends states of orders to a peer, in a datagram of the
            given kind.
        send_reports: sends evidence to a peer.
        count_in_flight: returns the number of calls that run or wait at the
            keeper.
    """

    send_states: Callable[
        [model.Address, int, Sequence[rollouts.Rollout]], None
    ]
    send_reports: Callable[[model.Address, Sequence[evidence.Report]], None]
    count_in_flight: Callable[[], int]


@attrs.define(eq=False)
class Rollouts:
    """Orders at this host.

    Attributes:
        gate: the states of orders, and the choice of releases by them.
        target: the target on this host.
    """

    reactor: Any
    store: interface.Store
    keys: orderreader.RolloutKeys
    table: directory.Directory
    gate: exposure.Gate
    target: announcements.LocalTarget
    events: RolloutEvents
    log: eventlog.EventLog
    meters: metrics.NodeMetrics
    noted: rejections.Rejections
    rng: random.Random
    _runs: evidence.RunLog = attrs.field(factory=evidence.RunLog)
    _boards: dict[str, evidence.Board] = attrs.field(factory=dict)
    _findings: dict[str, evidence.Findings] = attrs.field(factory=dict)
    _announcer: announcing.Announcer = attrs.field(factory=announcing.Announcer)
    # When each watching host last announced an order, in seconds.
    _announcers: dict[model.Address, float] = attrs.field(factory=dict)
    _watching_since: float | None = None
    _steps: int = 0
    _watch: orderwatch.OrderWatch = attrs.field(init=False)
    _writer: statuswriter.StatusWriter = attrs.field(init=False)
    _loop: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        reader = orderreader.OrderReader(
            self.reactor,
            self.store,
            self.keys,
            self.gate.states,
            self._learn,
            self.noted,
        )
        self._watch = orderwatch.OrderWatch(
            self.reactor,
            self.store,
            self.keys.order_prefix,
            self._is_watcher,
            orderwatch.OrderEvents(reader.note_list, reader.note_change),
            self.log,
            self.rng,
        )
        self._writer = statuswriter.StatusWriter(
            self.reactor,
            self.store,
            self.keys.status_prefix,
            self.keys.encode_status,
            self.keys.decode_status,
            self._find_own_write,
            self._learn,
            self.log,
            self.rng,
        )
        self._loop = task.LoopingCall(
            loops.guard(
                self._run_step,
                lambda error: self.log.log_request(
                    "rollouts.fault", error=error
                ),
            )
        )
        self._loop.clock = self.reactor

    def start(self) -> None:
        """Starts to watch for orders."""
        self._watch.start()
        self._loop.start(STEP_S, now=False)

    def close(self) -> None:
        """Stops everything."""
        self._watch.close()
        self._writer.close()
        if self._loop.running:
            self._loop.stop()

    def note_store(self, has_store: bool) -> None:
        """Records whether the store answered another call of this host."""
        self._watch.note_store(has_store)

    def note_run(
        self, work_class: str, is_failure: bool, elapsed_s: float
    ) -> None:
        """Records the end of a run at the target on this host."""
        rollout = self._find_own_order()
        held = self.target.current
        if rollout is not None and held is not None:
            start_at = self.reactor.seconds() - elapsed_s
            is_cold = start_at < self.target.cold_until
            self._runs.note_run(
                rollout.order.revision,
                held,
                work_class,
                is_failure,
                None if is_failure or is_cold else elapsed_s,
            )

    def _find_own_order(self) -> rollouts.Rollout | None:
        """Returns the order in progress of the service of this host."""
        held = self.target.current
        rollout = self.gate.states.get(held.service) if held else None
        return None if rollout is None or rollout.is_final else rollout

    def receive(self, peer: model.Address, message: datagrams.Datagram) -> None:
        """Handles a datagram of a peer."""
        now = self.reactor.seconds()
        for report in message.reports:
            self._note_report(peer, report, now)
        if not message.states:
            return
        services = [row.order.service for row in message.states]
        is_announcement = message.kind == datagrams.ROLLOUTS
        if is_announcement:
            self._announcers[peer] = now
        for row in message.states:
            if is_announcement:
                self.gate.announced_at[row.order.service] = now
            else:
                self._announcer.note_known(peer, row)
            self._learn(row.move_times(now))
        if is_announcement:
            known = [self.gate.states[name] for name in services]
            self._send_states(peer, datagrams.ROLLOUTS_KNOWN, known, now)

    def describe(self) -> dict[str, Any]:
        """Returns the state of all orders for operators."""
        now = self.reactor.seconds()
        return {
            service: {
                "release": rollout.order.release,
                "revision": rollout.order.revision,
                "stage": rollout.stage.name.lower(),
                "reason": rollout.reason,
                "age_s": round(now - rollout.started_at, 3),
                "stage_age_s": round(now - rollout.stage_at, 3),
                "is_written": rollout.is_written,
                "phase": self.gate.get_phase(service, now).name.lower(),
                "evidence": str(self._findings.get(service)),
            }
            for service, rollout in self.gate.states.items()
        }

    # Orders.

    def _is_watcher(self) -> bool:
        return watchers.is_watcher(self.table, self.reactor.seconds())

    def _learn(self, received: rollouts.Rollout) -> None:
        """Merges what the store, a peer or a decision tells of an order."""
        service = received.order.service
        held = self.gate.states.get(service)
        if not self.gate.note_rollout(received):
            return
        rollout = self.gate.states[service]
        if held is None or held.order.revision != rollout.order.revision:
            self._begin(rollout, held)
        if held is None or held.rank[:3] != rollout.rank[:3]:
            self._log_stage(rollout)
        self.meters.rollout_stage.labels(service).set(int(rollout.stage))
        if self._is_watcher():
            self._announce(self.reactor.seconds())
            self._request_write(rollout)

    def _begin(
        self, rollout: rollouts.Rollout, held: rollouts.Rollout | None
    ) -> None:
        order = rollout.order
        self._findings.pop(order.service, None)
        self._boards[order.service] = evidence.Board(
            order.revision, order.release
        )
        if held is not None and not held.is_final:
            self.log.log(
                "rollouts.superseded",
                service=order.service,
                release=held.order.release,
                by=order.release,
            )

    def _log_stage(self, rollout: rollouts.Rollout) -> None:
        order = rollout.order
        found = self._findings.get(order.service, evidence.Findings())
        self.log.log(
            "rollouts.stage",
            service=order.service,
            release=order.release,
            revision=order.revision,
            stage=rollout.stage.name.lower(),
            reason=rollout.reason,
            is_written=rollout.is_written,
            age_s=self.reactor.seconds() - rollout.started_at,
            new_runs=found.new_runs,
            old_runs=found.old_runs,
        )

    def _request_write(self, rollout: rollouts.Rollout) -> None:
        if rollout.needs_write:
            self._writer.request(rollout.order.service)

    def _find_own_write(self, service: str) -> rollouts.Rollout | None:
        return self.gate.states.get(service) if self._is_watcher() else None

    # Steps.

    def _run_step(self) -> None:
        now = self.reactor.seconds()
        self.gate.has_store = self.table.own.has_store or any(
            record.has_store for record in self.table.list_live(now)
        )
        if not self.gate.states:
            return
        self._steps += 1
        if self._is_watcher():
            if self._watching_since is None:
                self._watching_since = now
            self._decide(now)
            self._announce(now)
        else:
            self._watching_since = None
        self._report(now)
        for (service, release), count in self.gate.counts.items():
            self.meters.rollout_calls.labels(service, release).set(count)

    def _decide(self, now: float) -> None:
        """Applies the decisions on all orders."""
        assert self._watching_since is not None
        for service, rollout in list(self.gate.states.items()):
            self._request_write(rollout)
            if rollout.is_final:
                continue
            found = self._boards[service].assess(now)
            self._findings[service] = found
            if self._has_evidence(service, now):
                self.gate.announced_at[service] = now
            if now - self._watching_since < COLLECT_S:
                continue
            decision = rollouts.decide(
                rollout, found, self._has_targets(rollout.order, now), now
            )
            if decision is not None:
                self._learn(rollout.enter(decision.stage, decision.reason, now))

    def _has_targets(self, order: rollouts.Order, now: float) -> bool:
        records = [self.table.own, *self.table.list_live(now)]
        return any(
            record.target is not None
            and record.target.service == order.service
            and record.target.release == order.release
            and record.target.state is directory.TargetState.READY
            for record in records
        )

    def _announce(self, now: float) -> None:
        due = self._announcer.list_due(
            self.table,
            self.gate.states.values(),
            lambda service: self._has_evidence(service, now),
            now,
        )
        for address, states in due:
            self._send_states(address, datagrams.ROLLOUTS, states, now)

    def _has_evidence(self, service: str, now: float) -> bool:
        """Returns whether a fault of the new release would be seen here."""
        found = self._findings.get(service)
        return found is not None and now - found.reported_at <= EVIDENCE_AGE_S

    def _send_states(
        self,
        address: model.Address,
        kind: int,
        states: Sequence[rollouts.Rollout],
        now: float,
    ) -> None:
        moved = [state.move_times(-now) for state in states]
        self.events.send_states(address, kind, moved)

    # Evidence.

    def _report(self, now: float) -> None:
        """Reports the runs of the target on this host to watching hosts."""
        held = self.target.current
        rollout = self._find_own_order()
        if held is None or rollout is None:
            return
        is_canary = rollout.stage is rollouts.Stage.CANARY
        if is_canary and self._steps % CANARY_REPORT_STEPS:
            return
        in_flight = self.events.count_in_flight()
        report = self._runs.make_report(rollout.order.revision, held, in_flight)
        self._note_report(self.table.own.address, report, now)
        for address, heard_at in list(self._announcers.items()):
            if now - heard_at > exposure.ANNOUNCEMENT_AGE_S:
                del self._announcers[address]
            else:
                self.events.send_reports(address, [report])

    def _note_report(
        self, address: model.Address, report: evidence.Report, now: float
    ) -> None:
        board = self._boards.get(report.service)
        if board is not None:
            board.note_report(address, report, now)
