"""The first members of an order, followed change by change."""

import bisect
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from filbertlift_core import model

# Members kept beyond those chosen. A full selection over 3,600 members costs
# about 10 ms, and becomes necessary only when all of these are lost.
SPARE = 16

Address = model.Address
Member = model.Member


@attrs.define
class Selection:
    """The first members of an order.

    A single change costs one score instead of one of every member.
    """

    _count: int
    _score: Callable[[Member], int]
    _is_wanted: Callable[[Member], bool]
    _kept: list[tuple[int, Address]] = attrs.field(factory=list)
    # Every wanted member that is not kept has at least this score.
    _bound: int | None = None

    def select(self, members: Iterable[Member]) -> None:
        """Selects from all members."""
        self._kept = sorted(
            (self._score(member), member.address)
            for member in members
            if self._is_wanted(member)
        )
        self._bound = None
        self._truncate()

    def update(self, address: Address, member: Member | None) -> None:
        """Takes the changed record of an address; None when it is gone."""
        self._kept = [entry for entry in self._kept if entry[1] != address]
        if member is None or not self._is_wanted(member):
            return
        score = self._score(member)
        if self._bound is None or score < self._bound:
            bisect.insort(self._kept, (score, address))
            self._truncate()

    @property
    def is_exhausted(self) -> bool:
        """Whether members that are not kept may have to be chosen."""
        return self._bound is not None and len(self._kept) < self._count

    def list_chosen(self) -> list[Address]:
        """Returns the chosen addresses, the first one first."""
        return [address for _, address in self._kept[: self._count]]

    def list_kept(self) -> list[Address]:
        """Returns the chosen addresses and the spare ones in their order."""
        return [address for _, address in self._kept]

    def _truncate(self) -> None:
        limit = self._count + SPARE
        if len(self._kept) > limit:
            self._bound = self._kept[limit][0]
            del self._kept[limit:]
