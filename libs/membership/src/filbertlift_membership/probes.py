"""Probes of other nodes by datagrams."""

import random

import attrs
from filbertlift_core import model

from filbertlift_membership import members as membership

PERIOD_S = 1.0
ACK_S = 0.3
INDIRECT_S = 0.4
INDIRECT_PROBES = 3


@attrs.frozen
class SendPing:
    """Send a ping."""

    to: model.Address
    sequence: int


@attrs.frozen
class SendAck:
    """Answer a ping, or tell the requester of an indirect probe."""

    to: model.Address
    sequence: int


@attrs.frozen
class SendPingRequest:
    """Ask another node to ping a member."""

    via: model.Address
    to: model.Address
    sequence: int


@attrs.frozen
class Accuse:
    """Apply a SUSPECT record to the own table and spread it."""

    member: model.Member


Action = SendPing | SendAck | SendPingRequest | Accuse


@attrs.define
class Prober:
    """Probes one member a second, first directly and then through others."""

    _table: membership.MemberTable
    _rng: random.Random

    @classmethod
    def create(
        cls, table: membership.MemberTable, rng: random.Random, now: float
    ) -> "Prober":
        """Returns a prober whose first probe is due within a period."""
        del now
        return cls(table, rng)

    def tick(self, now: float) -> list[Action]:
        """Returns what is due; to be called every 100 ms."""
        del now
        return []

    def probe(self, address: model.Address, now: float) -> list[Action]:
        """Probes a member at once, as when its link broke or went silent."""
        del address, now
        return []

    def receive_ping(
        self, sender: model.Address, sequence: int, now: float
    ) -> list[Action]:
        """Answers a ping."""
        del now
        return [SendAck(sender, sequence)]

    def receive_ack(
        self, sender: model.Address, sequence: int, now: float
    ) -> list[Action]:
        """Takes an ack of the probed member or of a helper."""
        del sender, sequence, now
        return []

    def receive_ping_request(
        self,
        sender: model.Address,
        target: model.Address,
        sequence: int,
        now: float,
    ) -> list[Action]:
        """Pings a member for another node."""
        del sender, target, sequence, now
        return []
