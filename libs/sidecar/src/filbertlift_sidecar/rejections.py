"""Values of others that a node rejected, each logged and counted once."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any
from typing import Final

import attrs

from filbertlift_sidecar import eventlog

# Rejected values that are remembered; later ones replace the oldest.
MAX_REMEMBERED: Final = 1_024
# Characters of a key or a reason that are logged and compared.
MAX_TEXT_LENGTH: Final = 300


@attrs.define(eq=False)
class Rejections:
    """Logs and counts rejected values.

    The same value is often seen again, in each list of hosts or in each
    datagram of a peer, and is noted only the first time.

    Attributes:
        log: log of the node.
        count: called with the event of each value that is noted.
    """

    log: eventlog.EventLog
    count: Callable[[str], None]
    _noted: OrderedDict[tuple[str, str, str], None] = attrs.field(
        factory=OrderedDict
    )

    def note(self, event: str, key: str, error: object, **fields: Any) -> None:
        """Notes a value that was rejected.

        Args:
            event: event to log.
            key: names the value.
            error: why it was rejected.
            fields: further fields of the event.
        """
        key = key[:MAX_TEXT_LENGTH]
        reason = str(error)[:MAX_TEXT_LENGTH]
        entry = (event, key, reason)
        if entry in self._noted:
            return
        self._noted[entry] = None
        if len(self._noted) > MAX_REMEMBERED:
            self._noted.popitem(last=False)
        self.count(event)
        self.log.log_request(event, key=key, error=reason, **fields)
