"""Incrementally updated selection of the members with the lowest scores."""

import bisect
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from filbertlift_core import model

# Members kept in addition to those chosen. A full selection over 3,600 members
# takes about 10 ms, and is needed only when all of these are lost.
SPARE_MEMBERS = 16

Address = model.Address
Member = model.Member


@attrs.define
class Selection:
    """The members with the lowest scores.

    When one member changes, only its score is computed, not those of all
    members.
    """

    _count: int
    _score: Callable[[Member], int]
    _is_wanted: Callable[[Member], bool]
    _kept: list[tuple[int, Address]] = attrs.field(factory=list)
    # Lower bound of the scores of the wanted members that are not kept; None
    # when all of them are kept.
    _min_excluded_score: int | None = None

    def select(self, members: Iterable[Member]) -> None:
        """Selects from all members."""
        self._kept = sorted(
            (self._score(member), member.address)
            for member in members
            if self._is_wanted(member)
        )
        self._min_excluded_score = None
        self._truncate()

    def update(self, address: Address, member: Member | None) -> None:
        """Applies the changed record of an address, None if it was removed."""
        self._kept = [entry for entry in self._kept if entry[1] != address]
        if member is None or not self._is_wanted(member):
            return
        score = self._score(member)
        if self._min_excluded_score is None or score < self._min_excluded_score:
            bisect.insort(self._kept, (score, address))
            self._truncate()

    @property
    def is_exhausted(self) -> bool:
        """Whether members that are not kept may have to be chosen."""
        return (
            self._min_excluded_score is not None
            and len(self._kept) < self._count
        )

    def list_chosen(self) -> list[Address]:
        """Returns the chosen addresses, the first one first."""
        return [address for _, address in self._kept[: self._count]]

    def list_kept(self) -> list[Address]:
        """Returns the chosen addresses, then the spare ones, by score."""
        return [address for _, address in self._kept]

    def _truncate(self) -> None:
        limit = self._count + SPARE_MEMBERS
        if len(self._kept) > limit:
            self._min_excluded_score = self._kept[limit][0]
            del self._kept[limit:]
