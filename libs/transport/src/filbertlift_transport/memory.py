"""Owner of the memory that requests may take in this process.

A reader takes the bytes of a body before it reads them and does not read on
until they are granted, so that all bodies together stay within the limit. What
a request takes beside its body, the objects of its head, is charged by an
estimate while it is read; if there is too little memory, incomplete requests
are evicted.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

import attrs

# Bodies up to this size may use the reserved share of a budget. They are sent
# to a peer within their call, larger ones only once the peer has room.
SMALL_BODY_BYTES: Final = 64 * 1024
# Share of a budget that only small bodies may use.
RESERVED_SHARE: Final = 0.1
# Memory for everything but the bodies of requests: code, records, answers and
# the buffers of links. A process with little memory still gives bodies a share.
BASE_BYTES: Final = 100_000_000
MIN_BODY_SHARE: Final = 0.25
# Shares of the memory that the heads of requests may take. Those of peers have
# fewer objects, and only calls that wait at the target of this host have them.
CALLER_HEAD_SHARE: Final = 1 / 15
PEER_HEAD_SHARE: Final = 1 / 25
# Share of the memory for answers that callers do not read.
ANSWER_SHARE: Final = 1 / 15
# A process with little memory still takes some heads of the longest kind.
MIN_HEAD_BYTES: Final = 4_000_000
DEFAULT_HEAD_BYTES: Final = 20_000_000
DEFAULT_ANSWER_BYTES: Final = 20_000_000
# Requests with a charge up to this size, which holds about 30 header lines, may
# use the reserved share of a budget for heads.
SMALL_HEAD_BYTES: Final = 16 * 1024
RESERVED_HEAD_SHARE: Final = 0.25
# Objects of a request, and of a header line in the dictionary of the request
# and in the tuples of its call, without their characters.
REQUEST_BYTES: Final = 3_072
LINE_BYTES: Final = 256
# The characters of a head are held as received and in the call.
CHARACTER_COPIES: Final = 2


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
        evicted: number of incomplete bodies that made room for others.
    """

    limit_bytes: int
    reserved_bytes: int
    used_bytes: int = 0
    waited: int = 0
    refused: int = 0
    evicted: int = 0
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
    def waiting_bytes(self) -> int:
        """Number of bytes of the grants that wait."""
        return sum(grant.size for grant in (*self._small, *self._large))

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

    def evict(self, stalled: Iterable[tuple[int, Callable[[], None]]]) -> None:
        """Ends stalled bodies, the largest first, until others have room.

        Args:
            stalled: size of the grant of each body and the function that ends
                it, the oldest first.
        """
        needed_bytes = self.waiting_bytes
        for size, end in sorted(stalled, key=lambda body: -body[0]):
            if needed_bytes <= 0:
                return
            needed_bytes -= size
            self.evicted += 1
            end()

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


# Share of the memory that the kernel may hold in receive buffers of callers,
# and bounds of one buffer. The kernel takes up to twice its size. The size of
# an open connection is never reduced: the kernel then drops segments that are
# larger than the new buffer, each time that they are sent again.
RECEIVE_SHARE: Final = 1 / 8
MIN_RECEIVE_BYTES: Final = 32 * 1024
MAX_RECEIVE_BYTES: Final = 64 * 1024


def estimate_head(lines: int, characters: int) -> int:
    """Returns the bytes that the objects of a head take."""
    return lines * LINE_BYTES + characters * CHARACTER_COPIES


@attrs.define(eq=False)
class Charge:
    """Memory of the objects of one request.

    Attributes:
        evict: ends the request if it is incomplete.
        is_ahead: whether it waits behind another request of its caller.
        size: number of bytes.
    """

    _budget: "ChargeBudget"
    evict: Callable[[], None]
    is_ahead: bool = False
    size: int = 0

    def resize(self, size: int) -> bool:
        """Sets the size; returns whether there is memory for it.

        Without memory the request has to be refused, and the charge released.
        """
        return self._budget.resize(self, size)

    def complete(self) -> None:
        """Marks the request as complete, so that it is not evicted."""
        self._budget.keep(self)

    def release(self) -> None:
        """Gives back the memory."""
        self._budget.release(self)


@attrs.define(eq=False)
class ChargeBudget:
    """Memory of the objects of requests, complete or not, or of answers.

    Attributes:
        limit_bytes: number of bytes that all requests may take.
        reserved_bytes: the part of it that only small requests may use.
        used_bytes: number of bytes that are charged.
        evicted: number of incomplete requests that made room for others.
        refused: number of requests that were refused for lack of memory.
    """

    limit_bytes: int
    reserved_bytes: int
    used_bytes: int = 0
    evicted: int = 0
    refused: int = 0
    # In the order of their arrival.
    _incomplete: dict[Charge, None] = attrs.field(factory=dict)

    @classmethod
    def from_limit(cls, limit_bytes: int) -> "ChargeBudget":
        """Returns a budget with the usual share for small requests."""
        return cls(limit_bytes, int(limit_bytes * RESERVED_HEAD_SHARE))

    @property
    def is_relaxed(self) -> bool:
        """Whether requests may be read ahead of those that are answered."""
        return 2 * self.used_bytes < self.limit_bytes

    def open(self, evict: Callable[[], None], is_ahead: bool = False) -> Charge:
        """Returns the charge of a request that begins.

        Args:
            evict: ends the incomplete request and releases its charge.
            is_ahead: whether it waits behind another request of its caller;
                such ones may use half of the memory.
        """
        charge = Charge(self, evict, is_ahead)
        self._incomplete[charge] = None
        return charge

    def resize(self, charge: Charge, size: int) -> bool:
        """Sets the size of a charge; called by the charge."""
        growth = size - charge.size
        charge.size = size
        self.used_bytes += growth
        return growth <= 0 or self._make_room(charge)

    def keep(self, charge: Charge) -> None:
        """Excludes a charge from eviction; called by the charge."""
        self._incomplete.pop(charge, None)

    def release(self, charge: Charge) -> None:
        """Ends a charge; called by the charge."""
        self.keep(charge)
        self.used_bytes -= charge.size
        charge.size = 0

    def _make_room(self, charge: Charge) -> bool:
        """Evicts the largest incomplete requests, the oldest among equals."""
        limit_bytes = self.limit_bytes
        if charge.is_ahead:
            limit_bytes //= 2
        elif charge.size > SMALL_HEAD_BYTES:
            limit_bytes -= self.reserved_bytes
        while self.used_bytes > limit_bytes:
            largest = max(
                self._incomplete, key=lambda other: other.size, default=charge
            )
            if largest is charge or largest.size < charge.size:
                self.refused += 1
                return False
            self.evicted += 1
            largest.evict()
            largest.release()
        return True


@attrs.frozen
class ProcessMemory:
    """The memory of a node for the requests of its callers and its peers.

    Bodies of callers wait at peers for the memory of their bodies, which must
    not wait for these in turn, so each kind has a budget of its own.

    Attributes:
        caller_bodies: budget of the bodies of callers.
        peer_bodies: budget of the bodies of peers.
        caller_heads: budget of the other objects of requests of callers.
        peer_heads: the same for calls of peers.
        answers: budget of the answers that sockets of callers do not accept.
    """

    caller_bodies: MemoryBudget
    peer_bodies: MemoryBudget
    caller_heads: ChargeBudget
    peer_heads: ChargeBudget
    answers: ChargeBudget

    @classmethod
    def from_limit(cls, limit_bytes: int) -> "ProcessMemory":
        """Returns the budgets of a process that may take a number of bytes."""
        least_bytes = int(limit_bytes * MIN_BODY_SHARE)
        body_bytes = max(least_bytes, limit_bytes - BASE_BYTES) // 2
        return cls(
            MemoryBudget.from_limit(body_bytes),
            MemoryBudget.from_limit(body_bytes),
            _make_head_budget(limit_bytes * CALLER_HEAD_SHARE),
            _make_head_budget(limit_bytes * PEER_HEAD_SHARE),
            ChargeBudget(int(limit_bytes * ANSWER_SHARE), 0),
        )


def get_receive_bytes(limit_bytes: int, connections: int) -> int:
    """Returns the size of the receive buffer of a connection.

    Args:
        limit_bytes: number of bytes that the process may take.
        connections: largest number of connections.
    """
    size = int(limit_bytes * RECEIVE_SHARE / connections)
    return min(max(size, MIN_RECEIVE_BYTES), MAX_RECEIVE_BYTES)


def _make_head_budget(limit_bytes: float) -> ChargeBudget:
    return ChargeBudget.from_limit(max(MIN_HEAD_BYTES, int(limit_bytes)))
