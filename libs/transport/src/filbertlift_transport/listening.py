"""Ports that accept connections."""

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
