"""Number of hosts to which a host announces a new version.

A version spreads through a region in few steps if its first host there sends it
to many others. After the loss of many hosts few of those that are still listed
are running, so a small number of receivers may all be lost.
"""

import enum
from typing import Final

import attrs

# Hosts of the region to which each host forwards a version; three or four steps
# reach a hundred hosts.
FORWARD_COUNT: Final = 4
# Largest number of hosts of the region to which the first host sends a version,
# and time in which its link has to be able to send the version to all of them,
# in seconds.
MAX_FIRST_COUNT: Final = 48
SERVE_TIME_S: Final = 0.3
# Hosts of each other region to which a host sends a version that it read from
# the store, in case the watchers of that region are lost or have no store.
FAR_COUNT: Final = 8
_BYTES_PER_KBIT: Final = 125


class Origin(enum.Enum):
    """Where a host got a version from."""

    STORE = "store"
    FAR_PEER = "far-peer"
    NEAR_PEER = "peer"


@attrs.frozen
class Fanout:
    """Numbers of hosts to which a version is announced.

    Attributes:
        near: hosts of this host's region.
        far: hosts of each other region.
    """

    near: int
    far: int


FORWARD: Final = Fanout(FORWARD_COUNT, 0)


def choose_fanout(origin: Origin, link_kbps: int, reply_bytes: int) -> Fanout:
    """Returns the fanout of a version.

    Args:
        origin: where this host got the version from.
        link_kbps: capacity of this host's link, in kilobits per second.
        reply_bytes: size of the version as it is sent to peers, in bytes.
    """
    if origin is Origin.NEAR_PEER:
        return FORWARD
    served_bytes = SERVE_TIME_S * link_kbps * _BYTES_PER_KBIT
    near = int(served_bytes / max(1, reply_bytes))
    return Fanout(
        max(FORWARD_COUNT, min(MAX_FIRST_COUNT, near)),
        FAR_COUNT if origin is Origin.STORE else 0,
    )
