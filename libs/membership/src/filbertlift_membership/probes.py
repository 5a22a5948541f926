"""Probes of other nodes by datagrams."""

from collections import deque
import random

import attrs

from filbertlift_core import model
from filbertlift_membership import members as membership
from filbertlift_membership import rounds

PERIOD_S = 1.0
JITTER = 0.2
ACK_S = 0.3
INDIRECT_S = 0.4
INDIRECT_PROBES = 3
# Both sides of a mended partition list each other as DEAD, and would not
# connect again unless some DEAD members were still probed.
DEAD_EVERY = 10
# Acks may lie unread after a gap between ticks of this length.
PAUSE_S = 0.25
RECENT_RESULTS = 6
SUSPICIONS_PER_S = 1.0
SUSPICIONS_BURST = 3.0
# Open suspicions in the cluster at which a node adds none; with 3 s to settle
# each, a lost data centre causes at most about 40 updates a second.
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
    """Answer a ping, or tell the requester of an indirect probe."""

    to: Address
    sequence: int


@attrs.frozen
class SendPingRequest:
    """Ask another node to ping a member."""

    via: Address
    to: Address
    sequence: int


@attrs.frozen
class Accuse:
    """Apply a SUSPECT record to the own table and spread it."""

    member: Member


@attrs.frozen
class Reconnect:
    """Open a link to a node that responds although it is listed as DEAD.

    The digests compared on connect tell it, so that it refutes.
    """

    to: Address


Action = SendPing | SendAck | SendPingRequest | Accuse | Reconnect


@attrs.define
class _Probe:
    """A probe under way."""

    target: Address
    incarnation: int
    due_at: float
    is_indirect: bool = False
    is_of_dead: bool = False


@attrs.frozen
class _Relay:
    """A ping sent for another node."""

    requester: Address
    sequence: int


@attrs.define
class Prober:
    """Probes one member a second, first directly and then through others.

    Members of the own data centre, and less often those of the rest of the
    region, are probed in a random order that is drawn again after each round.
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
    _responsive: Address | None = None
    _started: int = 0
    _allowance: float = SUSPICIONS_BURST

    @classmethod
    def create(
        cls, table: membership.MemberTable, rng: random.Random, now: float
    ) -> "Prober":
        """Returns a prober whose first probe is due within a period."""
        return cls(
            table=table,
            rng=rng,
            rounds=rounds.Rounds(table, rng),
            next_at=now + rng.uniform(0.0, PERIOD_S),
            # A restarted node must not take the acks of its predecessor.
            sequence=rng.randrange(_SEQUENCES),
            ticked_at=now,
        )

    @property
    def is_healthy(self) -> bool:
        """Whether at most half of the recent probes of this node failed."""
        failed = self._results.count(False)
        return 2 * failed <= len(self._results)

    def tick(self, now: float) -> list[Action]:
        """Returns what is due; to be called every 100 ms."""
        elapsed = now - self._ticked_at
        self._ticked_at = now
        self._allowance = min(
            SUSPICIONS_BURST, self._allowance + elapsed * SUSPICIONS_PER_S
        )
        if elapsed > PAUSE_S:
            self._defer(elapsed)
        actions = self._advance(now)
        if now >= self._next_at:
            jitter = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
            self._next_at = now + PERIOD_S * jitter
            actions += self._start_next(now)
        return actions

    def probe(self, address: Address, now: float) -> list[Action]:
        """Probes a member at once, as when its link broke or went silent."""
        member = self._table.members.get(address)
        if member is None or not rounds.is_probed(member):
            return []
        if address == self._table.own.address:
            return []
        if len(self._probes) >= MAX_PROBES:
            return []
        if any(probe.target == address for probe in self._probes.values()):
            return []
        sequence = self._take_sequence()
        self._probes[sequence] = _Probe(
            address, member.incarnation, now + ACK_S
        )
        return [SendPing(address, sequence)]

    def receive_ping(
        self, sender: Address, sequence: int, now: float
    ) -> list[Action]:
        """Answers a ping."""
        del now
        return [SendAck(sender, sequence)]

    def receive_ack(
        self, sender: Address, sequence: int, now: float
    ) -> list[Action]:
        """Takes an ack of the probed member or of a helper."""
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
        self._responsive = probe.target
        return []

    def receive_ping_request(
        self, sender: Address, target: Address, sequence: int, now: float
    ) -> list[Action]:
        """Pings a member for another node."""
        del now
        if target not in self._table.members:
            return []
        own_sequence = self._take_sequence()
        self._relays[own_sequence] = _Relay(sender, sequence)
        if len(self._relays) > MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        return [SendPing(target, own_sequence)]

    def _advance(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sequence, probe in list(self._probes.items()):
            if now < probe.due_at:
                continue
            if probe.is_of_dead:
                del self._probes[sequence]
                continue
            if probe.is_indirect:
                del self._probes[sequence]
                actions += self._fail(probe)
                continue
            probe.is_indirect = True
            probe.due_at = now + INDIRECT_S
            actions += self._ask_helpers(probe.target, sequence)
        return actions

    def _defer(self, elapsed: float) -> None:
        for probe in self._probes.values():
            probe.due_at += elapsed

    def _ask_helpers(self, target: Address, sequence: int) -> list[Action]:
        helpers = self._rounds.take_helpers(target, INDIRECT_PROBES)
        return [SendPingRequest(helper, target, sequence) for helper in helpers]

    def _fail(self, probe: _Probe) -> list[Action]:
        self._results.append(False)
        if self._responsive == probe.target:
            self._responsive = None
        member = self._table.members.get(probe.target)
        if member is None or member.incarnation != probe.incarnation:
            return []
        if not rounds.is_probed(member) or not self._may_accuse():
            return []
        # Members beyond a partition between regions stay listed.
        if member.place.region != self._table.own.place.region:
            return []
        self._allowance -= 1.0
        suspect = attrs.evolve(member, state=model.MemberState.SUSPECT)
        return [Accuse(suspect)]

    def _may_accuse(self) -> bool:
        if not self.is_healthy or self._allowance < 1.0:
            return False
        return self._table.suspected < MAX_SUSPECTED

    def _start_next(self, now: float) -> list[Action]:
        self._started += 1
        actions: list[Action] = []
        if self._started % DEAD_EVERY == 0:
            actions += self._probe_dead(now)
        address = self._choose_target()
        if address is not None:
            actions += self.probe(address, now)
        return actions

    def _choose_target(self) -> Address | None:
        # A node among many dead ones would count as unhealthy for good, so
        # it spends every other probe on a member that should respond.
        if self.is_healthy or self._started % 2 == 0:
            return self._rounds.take()
        return self._responsive or self._rounds.take_any()

    def _probe_dead(self, now: float) -> list[Action]:
        address = self._rounds.take_lost()
        if address is None:
            return []
        sequence = self._take_sequence()
        self._probes[sequence] = _Probe(
            address, 0, now + ACK_S, is_of_dead=True
        )
        return [SendPing(address, sequence)]

    def _take_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % _SEQUENCES
        return self._sequence
