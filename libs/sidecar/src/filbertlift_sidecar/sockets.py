"""Options of sockets, so that a peer that vanished silently is noticed."""

import socket
from typing import Any
from typing import Final

# A connection without an answer to probes is dead after about this many
# seconds: idle time, and as many probes at this interval.
PROBE_IDLE_S: Final = 1
PROBE_INTERVAL_S: Final = 1
PROBE_COUNT: Final = 2
# Unacknowledged bytes end a connection after this time, in milliseconds.
USER_TIMEOUT_MS: Final = 2_500


def set_liveness(transport: Any) -> None:
    """Makes the kernel end a connection whose peer does not answer."""
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    sock = handle()
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)
