"""Order in which a node probes the others."""

from collections.abc import Iterable
import random

import attrs

from filbertlift_core import model
from filbertlift_membership import members as membership

# A data centre that is lost as a whole has nobody left to probe it from
# within, so one probe in four goes to another one of the region.
REMOTE_EVERY = 4
# Members drawn at once; a new member is probed after this many seconds, not
# after a round over a data centre of 1,200.
MAX_ROUND = 32

Address = model.Address
Member = model.Member


def is_probed(member: Member) -> bool:
    """Returns whether a failed probe of the member would be news."""
    return member.state in (
        model.MemberState.ALIVE,
        model.MemberState.LEAVING,
    )


@attrs.define
class Rounds:
    """Random orders of the own data centre and of the rest of the region."""

    _table: membership.MemberTable
    _rng: random.Random
    _count: int = 0
    _near: list[Address] = attrs.field(factory=list)
    _far: list[Address] = attrs.field(factory=list)

    def take(self) -> Address | None:
        """Returns the member to probe next, or None without any."""
        self._count += 1
        if self._count % REMOTE_EVERY == 0:
            return self._take_far() or self._take_near()
        return self._take_near() or self._take_far()

    def take_any(self) -> Address:
        """Returns any live member of the cluster."""
        return self._rng.choice(self._table.live()).address

    def take_lost(self) -> Address | None:
        """Returns a DEAD member, or None without any."""
        lost = self._table.lost()
        return self._rng.choice(lost).address if lost else None

    def take_helpers(self, target: Address, count: int) -> list[Address]:
        """Returns members of the own data centre that can probe another."""
        home = self._table.own.place.data_centre
        candidates = [
            member.address
            for member in self._table.live_of(home)
            if self._is_candidate(member) and member.address != target
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _take_near(self) -> Address | None:
        if not self._near:
            home = self._table.own.place.data_centre
            self._near = self._draw(self._table.live_of(home))
        return self._take_first(self._near)

    def _take_far(self) -> Address | None:
        if not self._far:
            home = self._table.own.place
            self._far = self._draw(
                member
                for member in self._table.live_of_region(home.region)
                if member.place.data_centre != home.data_centre
            )
        return self._take_first(self._far)

    def _draw(self, members: Iterable[Member]) -> list[Address]:
        addresses = [
            member.address for member in members if self._is_candidate(member)
        ]
        return self._rng.sample(addresses, min(MAX_ROUND, len(addresses)))

    def _take_first(self, order: list[Address]) -> Address | None:
        while order:
            address = order.pop()
            member = self._table.members.get(address)
            if member is not None and is_probed(member):
                return address
        return None

    def _is_candidate(self, member: Member) -> bool:
        return is_probed(member) and member.address != self._table.own.address
