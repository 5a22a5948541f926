"""Version in force of a node, its floor and the candidate."""

import enum
from typing import Protocol

import attrs

from filbertlift_distribution import exceptions


class Versioned(Protocol):
    """A whole and verified configuration."""

    @property
    def version(self) -> int:
        """Number of the version, 1 or more."""

    @property
    def root(self) -> str:
        """Hash over the whole contents."""


class Decision(enum.Enum):
    """What becomes of a snapshot that was offered."""

    APPLY = "apply"
    KEEP = "keep"
    WAIT = "wait"


@attrs.define
class VersionState:
    """Snapshot in force and the next one; neither ever goes back.

    Attributes:
        in_force: snapshot that governs calls, or None before the first.
        floor: version below which nothing may be put in force.
        is_settled: whether the floor is known; nothing is put in force
            before.
        candidate: newer snapshot that waits for a witness, or None.
        newest_seen: highest version that this node heard of.
    """

    in_force: Versioned | None = None
    floor: int = 0
    is_settled: bool = False
    candidate: Versioned | None = None
    newest_seen: int = 0

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return 0 if self.in_force is None else self.in_force.version

    @property
    def held(self) -> Versioned | None:
        """Newest whole snapshot, in force or not."""
        return self.candidate or self.in_force

    @property
    def held_version(self) -> int:
        """Version of the newest whole snapshot, 0 without one."""
        return 0 if self.held is None else self.held.version

    def offer(
        self, snapshot: Versioned, *, is_witnessed: bool = False
    ) -> Decision:
        """Takes a whole snapshot.

        Args:
            snapshot: verified configuration.
            is_witnessed: whether a witness knows the version already.

        Raises:
            VersionConflict: if another snapshot has the same version and a
                different root.
        """
        self.see(snapshot.version)
        self._check_root(snapshot)
        if snapshot.version <= self.version or snapshot.version < self.floor:
            return Decision.KEEP
        if self.candidate is None or (
            snapshot.version > self.candidate.version
        ):
            self.candidate = snapshot
        if not is_witnessed:
            return Decision.WAIT
        return self.accept(snapshot.version)

    def accept(self, version: int) -> Decision:
        """Puts the candidate in force when a witness knows its version.

        Args:
            version: version that a witness knows; a higher one counts too.
        """
        candidate = self.candidate
        if candidate is None:
            return Decision.KEEP
        if not self.is_settled or version < candidate.version:
            return Decision.WAIT
        if candidate.version < self.floor:
            return Decision.KEEP
        self.in_force = candidate
        self.candidate = None
        return Decision.APPLY

    def settle(self, floor: int) -> None:
        """States the floor that the start found; drops what lies below."""
        self.floor = max(self.floor, floor)
        self.is_settled = True
        self.see(floor)
        if self.candidate is not None and self.candidate.version < self.floor:
            self.candidate = None

    def see(self, version: int) -> None:
        """Notes that a version exists."""
        self.newest_seen = max(self.newest_seen, version)

    def _check_root(self, snapshot: Versioned) -> None:
        for known in (self.in_force, self.candidate):
            if known is None or known.version != snapshot.version:
                continue
            if known.root != snapshot.root:
                raise exceptions.VersionConflict(
                    f"version {known.version} has root {known.root} here "
                    f"and {snapshot.root} in the snapshot offered"
                )
