"""Dissemination of versions between linked nodes."""

from collections.abc import Iterable

import attrs

from filbertlift_core import model
from filbertlift_distribution import versions

FETCH_S = 0.5
SECOND_WATCH_S = 0.3
MAX_NOTICES = 8

Address = model.Address


@attrs.frozen
class SendNotice:
    """Tell a node which version this one holds."""

    to: Address
    version: int
    root: str


@attrs.frozen
class SendFetch:
    """Ask a node for its newest version; base 0 asks for all of it."""

    to: Address
    base_version: int


@attrs.frozen
class SendUpdate:
    """Send the newest snapshot as a change of a base, or whole."""

    to: Address
    base_version: int
    snapshot: versions.Versioned


@attrs.frozen
class Watch:
    """Whether a node watches the store, and its delay before a fetch."""

    is_watching: bool
    delay_s: float


def should_watch(own: Address, gateways: Iterable[Address]) -> Watch:
    """Returns the role of a node, given the gateways of its region."""
    ordered = list(gateways)
    if own not in ordered:
        return Watch(False, 0.0)
    return Watch(True, 0.0 if ordered[0] == own else SECOND_WATCH_S)


@attrs.frozen
class _Offer:
    """A notifier of a version that this node lacks."""

    version: int
    root: str


@attrs.frozen
class _Fetch:
    """The fetch in flight."""

    to: Address
    version: int
    sent_at: float


@attrs.define
class Spreader:
    """Tracks which linked node holds which version."""

    _state: versions.VersionState
    _held_by: dict[Address, int] = attrs.field(factory=dict)
    _told: dict[Address, int] = attrs.field(factory=dict)
    _offers: dict[Address, _Offer] = attrs.field(factory=dict)
    _fetch: _Fetch | None = None
    _is_whole_wanted: bool = False

    @classmethod
    def create(cls, state: versions.VersionState) -> "Spreader":
        """Returns a spreader without links."""
        return cls(state)

    def open_link(self, peer: Address) -> None:
        """Starts to tell a linked node about versions."""
        self._held_by[peer] = 0
        self._told[peer] = 0

    def close_link(self, peer: Address) -> None:
        """Forgets a linked node."""
        self._held_by.pop(peer, None)
        self._told.pop(peer, None)
        self._offers.pop(peer, None)
        if self._fetch is not None and self._fetch.to == peer:
            self._fetch = None

    def receive_notice(self, sender: Address, version: int, root: str) -> None:
        """Takes a notice, or the version of a heartbeat."""
        if sender not in self._held_by:
            return
        self._state.see(version)
        self._held_by[sender] = max(self._held_by[sender], version)
        if version > self._state.held_version:
            self._offers[sender] = _Offer(version, root)

    def receive_fetch(
        self, sender: Address, base_version: int
    ) -> list[SendUpdate]:
        """Answers a fetch when this node holds something newer."""
        held = self._state.held
        if held is None or held.version <= base_version:
            return []
        return [SendUpdate(sender, base_version, held)]

    def receive_update(self, sender: Address, version: int) -> None:
        """Notes that a whole snapshot arrived and was offered."""
        if sender in self._held_by:
            self._held_by[sender] = max(self._held_by[sender], version)
        if self._fetch is not None and self._fetch.to == sender:
            self._fetch = None

    def fail_fetch(self, sender: Address) -> None:
        """Notes that what a node sent was refused.

        Another notifier is asked next, and for the whole, since the base of
        the change may have been at fault.
        """
        self._offers.pop(sender, None)
        self._is_whole_wanted = True
        if self._fetch is not None and self._fetch.to == sender:
            self._fetch = None

    def tick(self, now: float) -> list[SendNotice | SendFetch]:
        """Returns the notices and the fetch that are due."""
        return [*self._notify(), *self._ask(now)]

    def _notify(self) -> list[SendNotice | SendFetch]:
        held = self._state.held
        if held is None:
            return []
        version = held.version
        due = [
            peer
            for peer, known in self._held_by.items()
            if known < version and self._told[peer] < version
        ]
        due = due[:MAX_NOTICES]
        self._told.update(dict.fromkeys(due, version))
        return [SendNotice(peer, version, held.root) for peer in due]

    def _ask(self, now: float) -> list[SendNotice | SendFetch]:
        held = self._state.held_version
        self._offers = {
            peer: offer
            for peer, offer in self._offers.items()
            if offer.version > held
        }
        fetch = self._fetch
        if fetch is not None:
            if now - fetch.sent_at < FETCH_S:
                return []
            # Last in line, so that another notifier is asked first.
            offer = self._offers.pop(fetch.to, None)
            if offer is not None:
                self._offers[fetch.to] = offer
            self._fetch = None
        if not self._offers:
            return []
        peer = next(iter(self._offers))
        self._fetch = _Fetch(peer, self._offers[peer].version, now)
        base = 0 if self._is_whole_wanted else held
        self._is_whole_wanted = False
        return [SendFetch(peer, base)]
