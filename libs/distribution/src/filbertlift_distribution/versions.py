"""Version in force of a node, its floor and its candidate."""

import enum
from typing import Protocol

import attrs

from filbertlift_distribution import exceptions


class Versioned(Protocol):
    """A complete and verified configuration."""

    @property
    def version(self) -> int:
        """Number of the version, 1 or more."""

    @property
    def root(self) -> str:
        """Hash of the complete contents."""


class Decision(enum.Enum):
    """Decision on a snapshot that was offered."""

    APPLY = "apply"
    KEEP = "keep"
    WAIT = "wait"


@attrs.define
class VersionState:
    """Snapshot in force and the candidate; neither version ever decreases.

    Attributes:
        in_force: snapshot used for calls, or None before the first.
        floor: lowest version that may be put in force.
        is_floor_known: whether the floor is known; until then, no version is
            put in force.
        candidate: newer snapshot that awaits a witness, or None.
        newest_seen: highest version that this node knows to exist.
    """

    in_force: Versioned | None = None
    floor: int = 0
    is_floor_known: bool = False
    candidate: Versioned | None = None
    newest_seen: int = 0

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return 0 if self.in_force is None else self.in_force.version

    @property
    def held(self) -> Versioned | None:
        """Newest complete snapshot, in force or not."""
        return self.candidate or self.in_force

    @property
    def held_version(self) -> int:
        """Version of the newest complete snapshot, 0 without one."""
        return 0 if self.held is None else self.held.version

    def offer(
        self, snapshot: Versioned, *, is_witnessed: bool = False
    ) -> Decision:
        """Makes a complete snapshot the candidate if it is newer.

        Args:
            snapshot: verified configuration.
            is_witnessed: whether a witness already knows the version.

        Raises:
            VersionConflict: if another snapshot has the same version and a
                different root.
        """
        self.observe(snapshot.version)
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
        if not self.is_floor_known or version < candidate.version:
            return Decision.WAIT
        if candidate.version < self.floor:
            return Decision.KEEP
        self.in_force = candidate
        self.candidate = None
        return Decision.APPLY

    def set_floor(self, floor: int) -> None:
        """Sets the floor found at start; drops a candidate below it."""
        self.floor = max(self.floor, floor)
        self.is_floor_known = True
        self.observe(floor)
        if self.candidate is not None and self.candidate.version < self.floor:
            self.candidate = None

    def observe(self, version: int) -> None:
        """Records that a version exists."""
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
