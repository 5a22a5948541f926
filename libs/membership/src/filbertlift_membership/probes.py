"""Failure detection by probes over datagrams."""

from collections import deque
import random

import attrs

from filbertlift_core import model
from filbertlift_membership import members as membership
from filbertlift_membership import rounds

PROBE_INTERVAL_S = 1.0
JITTER = 0.2
ACK_TIMEOUT_S = 0.3
INDIRECT_TIMEOUT_S = 0.4
INDIRECT_PROBES = 3
# Every 10th interval also probes a DEAD member. After a partition heals, both
# sides list each other as DEAD and would otherwise never reconnect.
DEAD_PROBE_EVERY = 10
# After a longer gap between ticks, received acks may not have been read yet.
PAUSE_THRESHOLD_S = 0.25
RECENT_RESULTS = 6
SUSPICIONS_PER_S = 1.0
SUSPICIONS_BURST = 3.0
# A node adds no suspicion while this many are open in the cluster. As each one
# is resolved within 3 s, the loss of a data centre causes at most about 40
# updates per second.
MAX_SUSPECTED = 128
MAX_PROBES = 16
MAX_RELAYS = 256
_SEQUENCES = 1 << 32

Address = model.Address
Member = model.Member


@attrs.frozen
class SendPing:
    """Send a ping."""

    to: Address
    sequence: int


@attrs.frozen
class SendAck:
    """Acknowledge a ping, or report a successful indirect probe."""

    to: Address
    sequence: int


@attrs.frozen
class SendPingRequest:
    """Ask another node to ping a member."""

    via: Address
    to: Address
    sequence: int


@attrs.frozen
class MarkSuspect:
    """Apply a SUSPECT record to the own table and broadcast it."""

    member: Member


@attrs.frozen
class Reconnect:
    """Open a link to a node that responds although it is listed as DEAD.

    From the digests exchanged on the new link, the node learns that it is
    listed as DEAD and refutes that.
    """

    to: Address


Action = SendPing | SendAck | SendPingRequest | MarkSuspect | Reconnect


@attrs.define
class _Probe:
    """A probe that awaits an ack."""

    target: Address
    incarnation: int
    due_at: float
    is_indirect: bool = False
    is_of_dead: bool = False


@attrs.frozen
class _Relay:
    """A ping sent on behalf of another node."""

    requester: Address
    sequence: int


@attrs.define
class Prober:
    """Probes one member per second, first directly and then through others.

    Members of the own data centre, and less often those of the rest of the
    region, are probed in a random order that is redrawn after each round.
    """

    _table: membership.MemberTable
    _rng: random.Random
    _rounds: rounds.Rounds
    _next_at: float
    _sequence: int
    _ticked_at: float
    _probes: dict[int, _Probe] = attrs.field(factory=dict)
    _relays: dict[int, _Relay] = attrs.field(factory=dict)
    _results: deque[bool] = attrs.field(
        factory=lambda: deque(maxlen=RECENT_RESULTS)
    )
    _last_responder: Address | None = None
    _probe_count: int = 0
    _allowance: float = SUSPICIONS_BURST

    @classmethod
    def create(
        cls, table: membership.MemberTable, rng: random.Random, now: float
    ) -> "Prober":
        """Returns a prober whose first probe is due within one interval."""
        return cls(
            table=table,
            rng=rng,
            rounds=rounds.Rounds(table, rng),
            next_at=now + rng.uniform(0.0, PROBE_INTERVAL_S),
            # A random start keeps a restarted node from matching acks that
            # were meant for its previous process.
            sequence=rng.randrange(_SEQUENCES),
            ticked_at=now,
        )

    @property
    def is_healthy(self) -> bool:
        """Whether at most half of the recent probes of this node failed."""
        failed = self._results.count(False)
        return 2 * failed <= len(self._results)

    def tick(self, now: float) -> list[Action]:
        """Returns the actions that are due; called every 100 ms."""
        elapsed = now - self._ticked_at
        self._ticked_at = now
        self._allowance = min(
            SUSPICIONS_BURST, self._allowance + elapsed * SUSPICIONS_PER_S
        )
        if elapsed > PAUSE_THRESHOLD_S:
            self._extend_timeouts(elapsed)
        actions = self._check_timeouts(now)
        if now >= self._next_at:
            jitter = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
            self._next_at = now + PROBE_INTERVAL_S * jitter
            actions += self._start_next(now)
        return actions

    def probe(self, address: Address, now: float) -> list[Action]:
        """Probes a member at once, e.g. when its link broke or went silent."""
        member = self._table.members.get(address)
        if member is None or not rounds.is_probed(member):
            return []
        if address == self._table.own.address:
            return []
        if len(self._probes) >= MAX_PROBES:
            return []
        if any(probe.target == address for probe in self._probes.values()):
            return []
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(
            address, member.incarnation, now + ACK_TIMEOUT_S
        )
        return [SendPing(address, sequence)]

    def receive_ping(
        self, sender: Address, sequence: int, now: float
    ) -> list[Action]:
        """Acknowledges a ping."""
        del now
        return [SendAck(sender, sequence)]

    def receive_ack(
        self, sender: Address, sequence: int, now: float
    ) -> list[Action]:
        """Handles an ack from a probed member or from a helper."""
        del sender, now
        relay = self._relays.pop(sequence, None)
        if relay is not None:
            return [SendAck(relay.requester, relay.sequence)]
        probe = self._probes.pop(sequence, None)
        if probe is None:
            return []
        if probe.is_of_dead:
            return [Reconnect(probe.target)]
        self._results.append(True)
        self._last_responder = probe.target
        return []

    def receive_ping_request(
        self, sender: Address, target: Address, sequence: int, now: float
    ) -> list[Action]:
        """Pings a member on behalf of another node."""
        del now
        if target not in self._table.members:
            return []
        own_sequence = self._next_sequence()
        self._relays[own_sequence] = _Relay(sender, sequence)
        if len(self._relays) > MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        return [SendPing(target, own_sequence)]

    def _check_timeouts(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sequence, probe in list(self._probes.items()):
            if now < probe.due_at:
                continue
            if probe.is_of_dead:
                del self._probes[sequence]
                continue
            if probe.is_indirect:
                del self._probes[sequence]
                actions += self._handle_failure(probe)
                continue
            probe.is_indirect = True
            probe.due_at = now + INDIRECT_TIMEOUT_S
            actions += self._ask_helpers(probe.target, sequence)
        return actions

    def _extend_timeouts(self, elapsed: float) -> None:
        for probe in self._probes.values():
            probe.due_at += elapsed

    def _ask_helpers(self, target: Address, sequence: int) -> list[Action]:
        helpers = self._rounds.pick_helpers(target, INDIRECT_PROBES)
        return [SendPingRequest(helper, target, sequence) for helper in helpers]

    def _handle_failure(self, probe: _Probe) -> list[Action]:
        self._results.append(False)
        if self._last_responder == probe.target:
            self._last_responder = None
        member = self._table.members.get(probe.target)
        if member is None or member.incarnation != probe.incarnation:
            return []
        if not rounds.is_probed(member) or not self._may_suspect():
            return []
        # A partition between regions must not remove the members of the other
        # region.
        if member.place.region != self._table.own.place.region:
            return []
        self._allowance -= 1.0
        suspect = attrs.evolve(member, state=model.MemberState.SUSPECT)
        return [MarkSuspect(suspect)]

    def _may_suspect(self) -> bool:
        if not self.is_healthy or self._allowance < 1.0:
            return False
        return self._table.suspected < MAX_SUSPECTED

    def _start_next(self, now: float) -> list[Action]:
        self._probe_count += 1
        actions: list[Action] = []
        if self._probe_count % DEAD_PROBE_EVERY == 0:
            actions += self._probe_dead(now)
        address = self._choose_target()
        if address is not None:
            actions += self.probe(address, now)
        return actions

    def _choose_target(self) -> Address | None:
        # If most of the probed members are dead, this node would count as
        # unhealthy permanently. To recover, it sends every other probe to a
        # member that should respond.
        if self.is_healthy or self._probe_count % 2 == 0:
            return self._rounds.next_member()
        return self._last_responder or self._rounds.pick_any()

    def _probe_dead(self, now: float) -> list[Action]:
        address = self._rounds.pick_lost()
        if address is None:
            return []
        sequence = self._next_sequence()
        self._probes[sequence] = _Probe(
            address, 0, now + ACK_TIMEOUT_S, is_of_dead=True
        )
        return [SendPing(address, sequence)]

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % _SEQUENCES
        return self._sequence
