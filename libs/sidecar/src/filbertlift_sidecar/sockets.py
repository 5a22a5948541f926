"""Socket options that detect a peer that vanished without an error."""

import socket
from typing import Any
from typing import Final

# TCP keepalive: idle seconds before the first probe, seconds between probes,
# and unanswered probes after which the connection is closed.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_COUNT: Final = 2
# Time after which unacknowledged bytes close a connection, in milliseconds.
USER_TIMEOUT_MS: Final = 2_500
# The same for a connection over which answers are sent. A caller that gets no
# processor time takes no bytes for a while, and closing the connection would
# lose its answers.
ANSWERS_USER_TIMEOUT_MS: Final = 10_000


def set_liveness(
    transport: Any, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Makes the kernel close a connection whose peer does not respond.

    Args:
        transport: the connection.
        user_timeout_ms: time after which bytes that the peer has not taken
            close it, in milliseconds.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return
    sock = get_handle()
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)
