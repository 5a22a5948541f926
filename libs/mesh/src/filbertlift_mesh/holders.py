"""Peers that have a newer version than this host.

A request to a peer may be lost with it, or wait behind other data on its link,
so the version is requested from one peer after another.
"""

from collections.abc import Callable

import attrs

from filbertlift_core import model


@attrs.define(eq=False)
class Holders:
    """Versions that peers reported, and the peers that were asked.

    Attributes:
        newest: the newest version that a peer has reported, -1 before the
            first.
    """

    newest: int = -1
    _versions: dict[model.Address, int] = attrs.field(factory=dict)
    _asked: set[model.Address] = attrs.field(factory=set)

    def note(self, peer: model.Address, version: int) -> bool:
        """Records the version of a peer; returns whether it is the newest."""
        self._versions[peer] = version
        if version <= self.newest:
            return False
        self.newest = version
        self._asked.clear()
        return True

    def note_asked(self, peer: model.Address) -> None:
        """Records that a peer was asked."""
        self._asked.add(peer)

    def drop_older(self, version: int) -> None:
        """Drops the peers that have no newer version than this one."""
        self._versions = {
            peer: held
            for peer, held in self._versions.items()
            if held > version
        }
        self._asked &= self._versions.keys()

    def choose(
        self, is_near: Callable[[model.Address], bool], may_ask_far: bool
    ) -> model.Address | None:
        """Returns the peer to ask next.

        Peers that were not asked yet go first, then near ones, then those with
        the newest version.

        Args:
            is_near: returns whether a peer is in this host's region.
            may_ask_far: whether peers of other regions may be asked.
        """
        candidates = [
            peer for peer in self._versions if may_ask_far or is_near(peer)
        ]
        return max(
            candidates,
            key=lambda peer: (
                peer not in self._asked,
                is_near(peer),
                self._versions[peer],
            ),
            default=None,
        )
