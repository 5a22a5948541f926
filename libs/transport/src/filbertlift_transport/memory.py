"""Budget of the bytes that request bodies may take in this process.

A reader takes the bytes of a body before it reads them and does not read on
until they are granted, so that all bodies together stay within the limit.
"""

import collections
from collections.abc import Callable
from typing import Final

import attrs

# Bodies up to this size may use the reserved share of a budget. They are sent
# to a peer within their call, larger ones only once the peer has room.
SMALL_BODY_BYTES: Final = 64 * 1024
# Share of a budget that only small bodies may use.
RESERVED_SHARE: Final = 0.1


@attrs.define(eq=False)
class Grant:
    """Bytes that were taken from a budget, or that wait for room in it.

    Attributes:
        size: number of bytes.
        is_granted: whether the bytes may be read.
        is_over: whether the bytes were given back.
    """

    size: int
    _budget: "MemoryBudget"
    _on_granted: Callable[[], None]
    is_granted: bool = False
    is_over: bool = False

    def admit(self) -> None:
        """Marks the bytes as granted; called by the budget."""
        self.is_granted = True
        self._on_granted()

    def shrink(self, size: int) -> None:
        """Gives back all bytes but the given number."""
        if self.is_over or not self.is_granted or size >= self.size:
            return
        surplus, self.size = self.size - size, size
        self._budget.give_back(surplus)

    def release(self) -> None:
        """Gives back the bytes, or gives up the wait for them."""
        if self.is_over:
            return
        self.is_over = True
        if self.is_granted:
            self._budget.give_back(self.size)
        else:
            self._budget.forget(self)


@attrs.define(eq=False)
class MemoryBudget:
    """Grants bytes in the order in which they were asked for.

    Large bodies wait in a queue of their own, and leave a share of the budget
    to small ones, which therefore pass them.

    Attributes:
        limit_bytes: number of bytes that may be granted at a time.
        reserved_bytes: the part of it that only small bodies may use.
        used_bytes: number of bytes that are granted.
        waited: number of grants that had to wait.
        refused: number of bodies that were refused for lack of memory.
    """

    limit_bytes: int
    reserved_bytes: int
    used_bytes: int = 0
    waited: int = 0
    refused: int = 0
    _small: collections.deque[Grant] = attrs.field(factory=collections.deque)
    _large: collections.deque[Grant] = attrs.field(factory=collections.deque)

    @classmethod
    def from_limit(cls, limit_bytes: int) -> "MemoryBudget":
        """Returns a budget with the usual share for small bodies."""
        return cls(limit_bytes, int(limit_bytes * RESERVED_SHARE))

    @property
    def waiting(self) -> int:
        """Number of grants that wait."""
        return len(self._small) + len(self._large)

    @property
    def largest_bytes(self) -> int:
        """Size of the largest body that can be granted."""
        return self.limit_bytes - self.reserved_bytes

    def take(self, size: int, on_granted: Callable[[], None]) -> Grant | None:
        """Asks for bytes; returns None if they can never be granted.

        Args:
            size: number of bytes.
            on_granted: called once the bytes are granted, unless they are
                granted before this method returns.
        """
        if size > self._get_limit(size):
            self.refused += 1
            return None
        grant = Grant(size, self, on_granted)
        queue = self._get_queue(size)
        if not queue and self._fits(size):
            grant.is_granted = True
            self.used_bytes += size
            return grant
        self.waited += 1
        queue.append(grant)
        return grant

    def give_back(self, size: int) -> None:
        """Returns granted bytes; called by a grant."""
        self.used_bytes -= size
        self._admit_waiting()

    def forget(self, grant: Grant) -> None:
        """Removes a grant that waits; called by the grant."""
        self._get_queue(grant.size).remove(grant)
        self._admit_waiting()

    def note_refused(self) -> None:
        """Counts a body that was refused after it had waited."""
        self.refused += 1

    def _admit_waiting(self) -> None:
        for queue in (self._small, self._large):
            while queue and self._fits(queue[0].size):
                grant = queue.popleft()
                self.used_bytes += grant.size
                grant.admit()

    def _fits(self, size: int) -> bool:
        return self.used_bytes + size <= self._get_limit(size)

    def _get_limit(self, size: int) -> int:
        if size <= SMALL_BODY_BYTES:
            return self.limit_bytes
        return self.largest_bytes

    def _get_queue(self, size: int) -> collections.deque[Grant]:
        return self._small if size <= SMALL_BODY_BYTES else self._large
