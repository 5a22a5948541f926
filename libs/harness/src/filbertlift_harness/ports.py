"""Picks free ports on loopback from a block reserved for one run."""

import os
import random
import socket

from filbertlift_core import model
from filbertlift_harness import exceptions

HOST = "127.0.0.1"
# The ports are below the range that the kernel uses for outgoing connections,
# so that no connection takes a port between the check and its use.
_FIRST_PORT, _END_PORT = 20_000, 32_500
# A deployment of 144 nodes needs about 440 ports.
_BLOCK_SIZE = 500


def is_free(port: int) -> bool:
    """Returns whether the port is free for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


class PortPicker:
    """Picks free ports of one block, each at most once.

    The first port of the block stays bound until the picker is closed, so that
    concurrent runs on one machine never use the same block.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        rng = rng or random.Random(f"{os.getpid()}/{os.urandom(8)!r}")
        self._reservation: socket.socket | None = None
        starts = list(range(_FIRST_PORT, _END_PORT, _BLOCK_SIZE))
        rng.shuffle(starts)
        for start in starts:
            self._reservation = _bind(start)
            if self._reservation is not None:
                self._ports = iter(range(start + 1, start + _BLOCK_SIZE))
                return
        raise exceptions.HarnessError("every block of ports is in use")

    def pick(self) -> model.Address:
        """Returns an address on loopback with a free port.

        Raises:
            HarnessError: if no free port is left in the block.
        """
        for port in self._ports:
            if is_free(port):
                return model.Address(HOST, port)
        raise exceptions.HarnessError("no free port is left in the block")

    def close(self) -> None:
        """Releases the block."""
        if self._reservation is not None:
            self._reservation.close()


def _bind(port: int) -> socket.socket | None:
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        reservation.bind((HOST, port))
    except OSError:
        reservation.close()
        return None
    return reservation
