"""Choice of the hosts that own the limits of organisations."""

from collections.abc import Iterable
import hashlib
import heapq
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import directory

# Hosts that organisations are distributed over; few, so that a host sends few
# datagrams.
OWNERS: Final = 4
# Share of the known hosts with which a partition has the whole limit. The other
# part has a tenth of it at most, which the tolerance covers.
WHOLE_SHARE: Final = 0.9


@attrs.frozen
class View:
    """What an owner knows of the other hosts.

    Attributes:
        address: address of the owner.
        candidates: hosts that may be owners.
        live: number of hosts in contact, the owner included.
        known: number of known hosts, silent ones included.
    """

    address: model.Address
    candidates: tuple[directory.HostRecord, ...] = ()
    live: int = 1
    known: int = 1

    def is_first(self, name: str) -> bool:
        """Returns whether no other host should own an organisation."""
        ordered = order_owners(name, self.candidates)
        return not ordered or ordered[0].address == self.address


def choose_candidates(
    records: Iterable[directory.HostRecord],
) -> list[directory.HostRecord]:
    """Returns the hosts that may own organisations.

    Hosts with a wide link go first, since an owner hears of all others. Among
    similar links the order is pseudo-random but the same on all hosts.
    """
    return heapq.nlargest(
        OWNERS,
        (record for record in records if not record.is_leaving),
        key=lambda record: (
            record.link_kbps.bit_length(),
            _hash_text(str(record.address)),
        ),
    )


def order_owners(
    name: str, candidates: Iterable[directory.HostRecord]
) -> list[directory.HostRecord]:
    """Returns candidates in the order in which they own an organisation."""
    return sorted(
        candidates, key=lambda record: _hash_text(f"{name}/{record.address}")
    )


def get_share(live: int, known: int) -> float:
    """Returns the share of the limits that these hosts may grant.

    Args:
        live: number of hosts in contact, this one included.
        known: number of hosts that are known, silent ones included.
    """
    share = live / max(1, known)
    return 1.0 if share >= WHOLE_SHARE else share


def _hash_text(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
