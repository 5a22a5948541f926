"""Keeps departures of the target at peers and in the store.

Decisions are in `filbertlift_mesh.replicas`; this module sends and waits.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import replicas
from filbertlift_sidecar import datagrams
from filbertlift_sidecar import departures as departure_codec
from filbertlift_sidecar import eventlog

# Time after which the store alone is enough, in seconds. Peers come first: the
# store may be away when the next node starts.
PEERS_TIMEOUT_S: Final = 0.3
# Interval at which peers are asked to hold a departure, in seconds, and how
# many of those that have not confirmed it, at first and more each time.
HOLD_INTERVAL_S: Final = 0.15
FIRST_PEERS: Final = 4
FURTHER_PEERS: Final = 2
# Interval at which a starting node asks its peers, in seconds, until it uses
# its target and later, and time after which it no longer asks.
ASK_INTERVAL_S: Final = 0.1
LATE_ASK_INTERVAL_S: Final = 1.0
ASK_TIMEOUT_S: Final = 20.0

SendFunction = Callable[
    [model.Address, int, Sequence[directory.TargetRecord]], None
]


@attrs.frozen
class ReplicationEvents:
    """Callbacks of the replication.

    Attributes:
        send: sends departures to a peer, in a datagram of the given kind.
        restore: called with each departure that a peer holds for this host.
        recover: called once the node may use its target.
    """

    send: SendFunction
    restore: Callable[[directory.TargetRecord], None]
    recover: Callable[[], None]


@attrs.define(eq=False)
class _Attempt:
    """Departures that are to be held, and the peers that confirmed them."""

    departures: Sequence[directory.TargetRecord]
    result: "defer.Deferred[None]"
    started_at: float
    is_saved: bool = False
    holders: set[model.Address] = attrs.field(factory=set)
    peers: int = FIRST_PEERS
    timer: Any = None


@attrs.define(eq=False)
class Replication:
    """Departures of this host at peers, and of peers at this host."""

    reactor: Any
    table: directory.Directory
    events: ReplicationEvents
    log: eventlog.EventLog
    _held: replicas.Replicas = attrs.field(factory=replicas.Replicas)
    _recovery: replicas.Recovery = attrs.field(factory=replicas.Recovery)
    _attempts: list[_Attempt] = attrs.field(factory=list)
    _is_recovered: bool = False
    _ask_until: float = 0.0
    _ask_timer: Any = None

    def start(self) -> None:
        """Starts to ask peers for departures of the target on this host."""
        self._ask_until = self.reactor.seconds() + ASK_TIMEOUT_S
        self._ask()

    def close(self) -> None:
        """Stops asking."""
        for attempt in list(self._attempts):
            self._end(attempt)
        if self._ask_timer is not None and self._ask_timer.active():
            self._ask_timer.cancel()

    def note_list(self, has_others: bool) -> None:
        """Records that the list of hosts was read from the store."""
        self._recovery.note_list(has_others, self.reactor.seconds())

    def keep(
        self,
        departures: Sequence[directory.TargetRecord],
        saved: "defer.Deferred[None]",
    ) -> "defer.Deferred[None]":
        """Keeps departures at peers or, if these do not answer, in the store.

        Args:
            departures: the departures, the last one at the end.
            saved: fires when the store has them.

        Returns:
            A Deferred that fires as soon as they are kept. It does not fail;
            cancelling it ends the attempt at the peers.
        """
        now = self.reactor.seconds()
        attempt = _Attempt(
            departures[-departure_codec.MAX_SAVED :],
            defer.Deferred(lambda _result: self._end(attempt)),
            now,
        )
        self._attempts.append(attempt)
        self._send_attempt(attempt)
        saved.addCallbacks(
            lambda _result: self._note_saved(attempt),
            self._log_unsaved,
        )
        return attempt.result

    def receive(self, peer: model.Address, message: datagrams.Datagram) -> None:
        """Handles a datagram of a peer."""
        now = self.reactor.seconds()
        if message.kind == datagrams.HOLD:
            self._held.hold(peer, message.departures, now)
            self._send_held(peer)
        elif message.kind == datagrams.ASK:
            self._send_held(peer)
        elif message.kind == datagrams.HELD:
            self._note_held(peer, message.departures)
        elif any(
            record.address == peer and self._held.contradict(record, now)
            for record in message.records
        ):
            self._send_held(peer)

    def _send_held(self, peer: model.Address) -> None:
        held = self._held.list_departures(peer, self.reactor.seconds())
        self.events.send(peer, datagrams.HELD, held)

    def _note_held(
        self, peer: model.Address, held: Sequence[directory.TargetRecord]
    ) -> None:
        for target in held:
            self.events.restore(target)
        self._recovery.note_answer(peer, self.reactor.seconds())
        for attempt in list(self._attempts):
            if replicas.covers(held, attempt.departures):
                attempt.holders.add(peer)
                self._check(attempt)

    # Keeping departures of this host.

    def _note_saved(self, attempt: _Attempt) -> None:
        attempt.is_saved = True
        self._check(attempt)

    def _log_unsaved(self, reason: Any) -> None:
        self.log.log(
            "control.departure-unsaved", error=reason.getErrorMessage()
        )

    def _list_candidates(self) -> list[directory.HostRecord]:
        live = self.table.list_live(self.reactor.seconds())
        return replicas.order_holders(
            self.table.own,
            [record for record in live if not record.is_leaving],
        )

    def _send_attempt(self, attempt: _Attempt) -> None:
        unconfirmed = [
            record
            for record in self._list_candidates()
            if record.address not in attempt.holders
        ]
        for record in unconfirmed[: attempt.peers]:
            self.events.send(record.address, datagrams.HOLD, attempt.departures)
        attempt.peers += FURTHER_PEERS
        attempt.timer = self.reactor.callLater(
            HOLD_INTERVAL_S, self._send_attempt, attempt
        )
        self._check(attempt)

    def _check(self, attempt: _Attempt) -> None:
        """Ends an attempt whose departures are kept."""
        if attempt not in self._attempts:
            return
        candidates = self._list_candidates()
        holders = [
            record for record in candidates if record.address in attempt.holders
        ]
        waited_s = self.reactor.seconds() - attempt.started_at
        has_waited = not candidates or waited_s >= PEERS_TIMEOUT_S
        is_kept = replicas.is_replicated(holders, candidates)
        if not is_kept and not (attempt.is_saved and has_waited):
            return
        self.log.log(
            "control.departure-kept",
            holders=len(holders),
            is_saved=attempt.is_saved,
            took_s=waited_s,
        )
        self._end(attempt)
        attempt.result.callback(None)

    def _end(self, attempt: _Attempt) -> None:
        if attempt not in self._attempts:
            return
        self._attempts.remove(attempt)
        if attempt.timer.active():
            attempt.timer.cancel()

    # Recovery after a start.

    def _ask(self) -> None:
        now = self.reactor.seconds()
        live = self.table.list_live(now)
        asked = replicas.order_holders(self.table.own, live)
        asked = asked[: replicas.ASKED_HOSTS]
        is_complete = self._recovery.is_complete(asked, now)
        if is_complete and not self._is_recovered:
            self._is_recovered = True
            answered = len(self._recovery.answered)
            self.log.log("node.recovered", asked=len(asked), answered=answered)
            self.events.recover()
        for record in asked:
            if record.address not in self._recovery.answered:
                self.events.send(record.address, datagrams.ASK, ())
        if self._is_recovered and now >= self._ask_until:
            return
        delay_s = LATE_ASK_INTERVAL_S if self._is_recovered else ASK_INTERVAL_S
        self._ask_timer = self.reactor.callLater(delay_s, self._ask)
