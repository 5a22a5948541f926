"""Dissemination of versions between linked nodes."""

from collections.abc import Iterable

import attrs

from filbertlift_core import model
from filbertlift_distribution import versions

FETCH_TIMEOUT_S = 0.5
SECOND_WATCH_DELAY_S = 0.3
MAX_NOTICES = 8

Address = model.Address


@attrs.frozen
class SendNotice:
    """Tell a node which version this node holds."""

    to: Address
    version: int
    root: str


@attrs.frozen
class SendFetch:
    """Ask a node for its newest version; base 0 asks for a full snapshot."""

    to: Address
    base_version: int


@attrs.frozen
class SendUpdate:
    """Send the newest snapshot, as a delta to a base version or in full."""

    to: Address
    base_version: int
    snapshot: versions.Versioned


@attrs.frozen
class WatchRole:
    """Whether a node watches the store, and its delay before a fetch."""

    is_watching: bool
    delay_s: float


def choose_watch_role(own: Address, gateways: Iterable[Address]) -> WatchRole:
    """Returns whether a node watches the store.

    Only the gateways of its region do, and only the first one without a delay.
    """
    ordered = list(gateways)
    if own not in ordered:
        return WatchRole(False, 0.0)
    return WatchRole(True, 0.0 if ordered[0] == own else SECOND_WATCH_DELAY_S)


@attrs.frozen
class _Offer:
    """A version that a peer holds and this node lacks."""

    version: int
    root: str


@attrs.frozen
class _Fetch:
    """The fetch in flight."""

    to: Address
    version: int
    sent_at: float


@attrs.define
class Disseminator:
    """Tracks which linked node holds which version, and fetches newer ones."""

    _state: versions.VersionState
    _peer_versions: dict[Address, int] = attrs.field(factory=dict)
    _notified: dict[Address, int] = attrs.field(factory=dict)
    _offers: dict[Address, _Offer] = attrs.field(factory=dict)
    _fetch: _Fetch | None = None
    _needs_full_snapshot: bool = False

    @classmethod
    def create(cls, state: versions.VersionState) -> "Disseminator":
        """Returns a disseminator without links."""
        return cls(state)

    def open_link(self, peer: Address) -> None:
        """Starts to send notices to a linked node."""
        self._peer_versions[peer] = 0
        self._notified[peer] = 0

    def close_link(self, peer: Address) -> None:
        """Drops the state of a link."""
        self._peer_versions.pop(peer, None)
        self._notified.pop(peer, None)
        self._offers.pop(peer, None)
        if self._fetch is not None and self._fetch.to == peer:
            self._fetch = None

    def receive_notice(self, sender: Address, version: int, root: str) -> None:
        """Handles the version of a notice or a heartbeat."""
        if sender not in self._peer_versions:
            return
        self._state.observe(version)
        self._peer_versions[sender] = max(self._peer_versions[sender], version)
        if version > self._state.held_version:
            self._offers[sender] = _Offer(version, root)

    def receive_fetch(
        self, sender: Address, base_version: int
    ) -> list[SendUpdate]:
        """Answers a fetch if this node holds a newer version."""
        held = self._state.held
        if held is None or held.version <= base_version:
            return []
        return [SendUpdate(sender, base_version, held)]

    def receive_update(self, sender: Address, version: int) -> None:
        """Records that a complete snapshot was received from a node."""
        if sender in self._peer_versions:
            self._peer_versions[sender] = max(
                self._peer_versions[sender], version
            )
        if self._fetch is not None and self._fetch.to == sender:
            self._fetch = None

    def fail_fetch(self, sender: Address) -> None:
        """Records that an update from a node was rejected.

        The next fetch goes to another node that offers a version, and asks for
        a full snapshot, as the base of the delta may have been the fault.
        """
        self._offers.pop(sender, None)
        self._needs_full_snapshot = True
        if self._fetch is not None and self._fetch.to == sender:
            self._fetch = None

    def tick(self, now: float) -> list[SendNotice | SendFetch]:
        """Returns the due notices and the due fetch."""
        return [*self._notify(), *self._start_fetch(now)]

    def _notify(self) -> list[SendNotice | SendFetch]:
        held = self._state.held
        if held is None:
            return []
        version = held.version
        due = [
            peer
            for peer, known in self._peer_versions.items()
            if known < version and self._notified[peer] < version
        ]
        due = due[:MAX_NOTICES]
        self._notified.update(dict.fromkeys(due, version))
        return [SendNotice(peer, version, held.root) for peer in due]

    def _start_fetch(self, now: float) -> list[SendNotice | SendFetch]:
        held = self._state.held_version
        self._offers = {
            peer: offer
            for peer, offer in self._offers.items()
            if offer.version > held
        }
        fetch = self._fetch
        if fetch is not None:
            if now - fetch.sent_at < FETCH_TIMEOUT_S:
                return []
            # The fetch timed out. The offer moves to the end, so that another
            # node is asked first.
            offer = self._offers.pop(fetch.to, None)
            if offer is not None:
                self._offers[fetch.to] = offer
            self._fetch = None
        if not self._offers:
            return []
        peer = next(iter(self._offers))
        self._fetch = _Fetch(peer, self._offers[peer].version, now)
        base = 0 if self._needs_full_snapshot else held
        self._needs_full_snapshot = False
        return [SendFetch(peer, base)]
