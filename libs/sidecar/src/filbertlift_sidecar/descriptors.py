"""Divides the file descriptors of the process among its connections."""

from typing import Final

import attrs

# Descriptors that a process may have open unless its settings say otherwise.
DEFAULT_DESCRIPTORS: Final = 4_100
# Parts of those for each kind of connection. The rest is for links to peers,
# the connections of running calls to the target, the store and the log.
CALLERS: Final = 2_500
LINGERING: Final = 256
CONTROL: Final = 100
IDLE_TARGETS: Final = 100
# A process with few descriptors still has some of each kind.
MIN_PART: Final = 10


@attrs.frozen
class DescriptorShares:
    """Limits of the connections of each kind.

    Attributes:
        callers: connections that callers use.
        lingering: connections that wait for their callers to close.
        control: connections to each of the other ports for HTTP.
        idle_targets: idle connections to the target.
    """

    callers: int
    lingering: int
    control: int
    idle_targets: int

    @classmethod
    def from_limit(cls, descriptors: int) -> "DescriptorShares":
        """Returns the limits of a process with a number of descriptors."""
        scale = min(1.0, descriptors / DEFAULT_DESCRIPTORS)
        parts = (CALLERS, LINGERING, CONTROL, IDLE_TARGETS)
        return cls(*(max(MIN_PART, int(part * scale)) for part in parts))
