"""Witnesses: neighbours that know a version before it is put in force."""

from collections.abc import Iterable

import attrs

from filbertlift_core import model

# One acknowledgement is enough; a second report is sent in case one is lost.
FIRST_REPORTS = 2
REPORT_INTERVAL_S = 0.5

Address = model.Address


@attrs.frozen
class SendReport:
    """Ask a chosen neighbour to record the version of this host."""

    to: Address
    version: int


@attrs.define
class Witnesses:
    """Versions that the chosen neighbours are known to have recorded.

    Only the neighbours that a node chose count, because after a restart at the
    same address it chooses and asks the same ones. A neighbour loses its
    records when it restarts, so it counts only while the link to it is open.
    """

    _chosen: frozenset[Address] = frozenset()
    _known: dict[Address, int] = attrs.field(factory=dict)
    _version: int = 0
    _reported_to: set[Address] = attrs.field(factory=set)
    _reported_at: float = float("-inf")
    _is_retry: bool = False

    def set_chosen(self, chosen: Iterable[Address]) -> None:
        """Sets the neighbours that this node chose and that are not DEAD."""
        self._chosen = frozenset(chosen)

    def open_link(self, peer: Address) -> None:
        """Starts to count a peer, which has not recorded any version yet."""
        self._known[peer] = 0
        self._reported_to.discard(peer)

    def close_link(self, peer: Address) -> None:
        """Stops counting a peer."""
        self._known.pop(peer, None)
        self._reported_to.discard(peer)

    def record(self, peer: Address, version: int) -> None:
        """Records that a peer has recorded a version for this host."""
        if peer in self._known:
            self._known[peer] = max(version, self._known[peer])

    def highest(self) -> int:
        """Returns the highest version that a chosen neighbour has recorded."""
        return max(
            (self._known.get(peer, 0) for peer in self._chosen), default=0
        )

    @property
    def is_alone(self) -> bool:
        """Whether no live neighbour is known."""
        return not self._chosen

    def tick(self, version: int, now: float) -> list[SendReport]:
        """Returns the reports of a version that are due.

        The first reports go to two neighbours, repeated ones to all.
        """
        if version != self._version:
            self._version = version
            self._reported_to.clear()
            self._is_retry = False
        elif now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_to.clear()
            self._is_retry = True
        due = sorted((self._chosen & self._known.keys()) - self._reported_to)
        if not self._is_retry:
            due = due[: max(FIRST_REPORTS - len(self._reported_to), 0)]
        return [self._report(peer, version, now) for peer in due]

    def _report(self, peer: Address, version: int, now: float) -> SendReport:
        self._reported_to.add(peer)
        self._reported_at = now
        return SendReport(peer, version)
