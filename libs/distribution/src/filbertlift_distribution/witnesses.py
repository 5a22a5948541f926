"""Witnesses: neighbours that know a version before it is put in force."""

from collections.abc import Iterable

import attrs

from filbertlift_core import model

# One acknowledgement is enough; a second report covers a lost one.
FIRST_REPORTS = 2
REPORT_S = 0.5

Address = model.Address


@attrs.frozen
class SendReport:
    """Ask a chosen neighbour to remember the version of this host."""

    to: Address
    version: int


@attrs.define
class Witnesses:
    """Which chosen neighbour is known to remember which version.

    Only the neighbours that a node chose count, since its successor at the
    same address chooses and asks the same ones. What one of them remembers is
    lost when it restarts, so it counts only while the link to it lasts.
    """

    _chosen: frozenset[Address] = frozenset()
    _known: dict[Address, int] = attrs.field(factory=dict)
    _version: int = 0
    _asked: set[Address] = attrs.field(factory=set)
    _asked_at: float = float("-inf")
    _is_retry: bool = False

    def set_chosen(self, chosen: Iterable[Address]) -> None:
        """States the neighbours that this node chose and are not DEAD."""
        self._chosen = frozenset(chosen)

    def open_link(self, peer: Address) -> None:
        """Starts to count a peer, which knows nothing yet."""
        self._known[peer] = 0
        self._asked.discard(peer)

    def close_link(self, peer: Address) -> None:
        """Stops to count a peer."""
        self._known.pop(peer, None)
        self._asked.discard(peer)

    def note(self, peer: Address, version: int) -> None:
        """Notes that a peer remembers a version for this host."""
        if peer in self._known:
            self._known[peer] = max(version, self._known[peer])

    def highest(self) -> int:
        """Returns the highest version that a chosen neighbour remembers."""
        return max(
            (self._known.get(peer, 0) for peer in self._chosen), default=0
        )

    @property
    def is_alone(self) -> bool:
        """Whether no live neighbour is known."""
        return not self._chosen

    def tick(self, version: int, now: float) -> list[SendReport]:
        """Returns the reports of a version that are due.

        The first go to two neighbours, the later ones to all.
        """
        if version != self._version:
            self._version = version
            self._asked.clear()
            self._is_retry = False
        elif now - self._asked_at >= REPORT_S:
            self._asked.clear()
            self._is_retry = True
        due = sorted((self._chosen & self._known.keys()) - self._asked)
        if not self._is_retry:
            due = due[: max(FIRST_REPORTS - len(self._asked), 0)]
        return [self._report(peer, version, now) for peer in due]

    def _report(self, peer: Address, version: int, now: float) -> SendReport:
        self._asked.add(peer)
        self._asked_at = now
        return SendReport(peer, version)
