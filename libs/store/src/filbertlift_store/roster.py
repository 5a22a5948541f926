"""Rosters: a few addresses of a data centre, for the first contact of nodes."""

from collections.abc import Collection
from collections.abc import Iterable
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import section as codec
from filbertlift_core import exceptions as core_exceptions
from filbertlift_core import model
from filbertlift_store import exceptions
from filbertlift_store import interface

MAX_ADDRESSES: Final = 16
MAX_ROSTER_BYTES: Final = 4_096
# Longer than a pause or an outage of the store of some minutes.
LEASE_TTL_S: Final = 300.0


@attrs.frozen(order=True)
class Contact:
    """A node that a starting node can contact.

    Attributes:
        address: link address of the node.
        region: region of the node, which decides how it is reached.
    """

    address: model.Address
    region: str


def merge_roster(
    held: Iterable[Contact],
    live: Iterable[Contact],
    lost: Collection[model.Address],
) -> tuple[Contact, ...]:
    """Returns the roster after an update, sorted.

    Args:
        held: the contacts in the store.
        live: contacts that the writer knows to be alive; the first of them
            take precedence over the held ones when there are too many.
        lost: addresses that the writer knows to be dead.
    """
    kept = [contact for contact in held if contact.address not in lost]
    merged = dict.fromkeys([*live, *kept])
    return tuple(sorted(list(merged)[:MAX_ADDRESSES]))


def encode_roster(contacts: Iterable[Contact]) -> bytes:
    """Returns the value that is stored under the key of a roster."""
    rows = [[str(item.address), item.region] for item in contacts]
    return codec.encode_canonical({"nodes": rows})


def decode_roster(data: bytes) -> tuple[Contact, ...]:
    """Returns the valid contacts; an invalid roster counts as empty.

    A roster is only a hint, and the next write replaces it.
    """
    try:
        content = codec.decode_object(
            data, MAX_ROSTER_BYTES, config_exceptions.SnapshotError
        )
    except core_exceptions.FilbertliftError:
        return ()
    rows = content.get("nodes")
    if not isinstance(rows, list):
        return ()
    contacts = [
        contact for row in rows if (contact := _read_contact(row)) is not None
    ]
    return tuple(contacts[:MAX_ADDRESSES])


def _read_contact(row: Any) -> Contact | None:
    """Returns the contact in a row, or None if the row is malformed."""
    try:
        address, region = row
        return Contact(model.Address.parse_ip(str(address)), str(region))
    except (core_exceptions.FilbertliftError, TypeError, ValueError):
        return None


@defer.inlineCallbacks
def read_roster(store: interface.Store, cluster: str, data_centre: str) -> Any:
    """Returns the contacts of a data centre; fails with StoreError."""
    entry = yield store.get(interface.roster_key(cluster, data_centre))
    return decode_roster(entry.value) if entry is not None else ()


@attrs.define
class RosterWriter:
    """Writes the roster of one data centre.

    Two writers may overwrite each other's update. Each adds its contacts to
    those that it read, so that later writes converge on the same addresses.
    """

    store: interface.Store
    cluster: str
    data_centre: str
    _lease: str = ""

    @defer.inlineCallbacks
    def write(
        self,
        live: Collection[Contact],
        lost: Collection[model.Address],
    ) -> Any:
        """Merges contacts into the roster; returns whether it was written.

        It must be called again within `LEASE_TTL_S` seconds, because the
        roster is deleted when the lease ends. The Deferred fails with
        StoreError.

        Args:
            live: nodes that are alive, the preferred ones first.
            lost: addresses that are dead.
        """
        held = yield read_roster(self.store, self.cluster, self.data_centre)
        merged = merge_roster(held, live, lost)
        is_kept = yield self._keep_lease()
        if is_kept and merged == held:
            return False
        key = interface.roster_key(self.cluster, self.data_centre)
        yield self.store.put_leased(key, encode_roster(merged), self._lease)
        return True

    @defer.inlineCallbacks
    def _keep_lease(self) -> Any:
        """Returns whether the lease was extended; if not, grants a new one."""
        if self._lease:
            try:
                yield self.store.keep_lease(self._lease)
                return True
            except exceptions.LeaseLost:
                self._lease = ""
        self._lease = yield self.store.grant_lease(LEASE_TTL_S)
        return False
