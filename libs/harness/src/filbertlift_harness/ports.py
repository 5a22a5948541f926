"""Free ports on loopback, from a block that one run has to itself."""

import os
import random
import socket

from filbertlift_core import model
from filbertlift_harness import exceptions

HOST = "127.0.0.1"
# Below the range from which the kernel takes ports for outgoing connections,
# so that no connection takes a port between the check and its use.
_LOW, _HIGH = 20_000, 32_500
# A deployment of 144 nodes needs about 440 ports.
_BLOCK = 500


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
    """Hands out free ports of one block, each once.

    The first port of the block stays bound while the picker lives, so that
    runs beside each other on one machine never choose the same block.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        rng = rng or random.Random(f"{os.getpid()}/{os.urandom(8)!r}")
        self._guard: socket.socket | None = None
        starts = list(range(_LOW, _HIGH, _BLOCK))
        rng.shuffle(starts)
        for start in starts:
            self._guard = _bind(start)
            if self._guard is not None:
                self._ports = iter(range(start + 1, start + _BLOCK))
                return
        raise exceptions.HarnessError("every block of ports is in use")

    def pick(self) -> model.Address:
        """Returns an address on loopback with a free port.

        Raises:
            HarnessError: if no port of the block is left.
        """
        for port in self._ports:
            if is_free(port):
                return model.Address(HOST, port)
        raise exceptions.HarnessError("no port of the block is left")

    def close(self) -> None:
        """Gives the block back."""
        if self._guard is not None:
            self._guard.close()


def _bind(port: int) -> socket.socket | None:
    guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        guard.bind((HOST, port))
    except OSError:
        guard.close()
        return None
    return guard
