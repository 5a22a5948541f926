"""Ports that accept connections."""

import socket
from typing import Any


def accept_waiting(port: Any) -> None:
    """Accepts the connections that wait in the kernel's queue of a port.

    Does nothing if the port is closed or not one of the reactor's TCP ports.
    """
    if not getattr(port, "connected", False):
        return
    accepted = -1
    # One read accepts a limited number of connections.
    while accepted != port.sessionno:
        accepted = port.sessionno
        port.doRead()


def set_receive_bytes(port: Any, size: int) -> None:
    """Sets the receive buffer of the connections that a port accepts."""
    handle = getattr(port, "socket", None)
    if handle is not None:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
