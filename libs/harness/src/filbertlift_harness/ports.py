"""Free ports on loopback."""

import os
import random
import socket

from filbertlift_core import model
from filbertlift_harness import exceptions

HOST = "127.0.0.1"
# Below the range from which the kernel takes ports for outgoing connections,
# so that no connection takes a port between the check and its use.
_LOW, _HIGH = 20_000, 32_000


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
    """Hands out free ports, each once."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random(f"{os.getpid()}/{os.urandom(8)!r}")
        self._used: set[int] = set()

    def pick(self) -> model.Address:
        """Returns an address on loopback with a free port.

        Raises:
            HarnessError: if no free port was found.
        """
        for _ in range(1000):
            port = self._rng.randrange(_LOW, _HIGH)
            if port not in self._used and is_free(port):
                self._used.add(port)
                return model.Address(HOST, port)
        raise exceptions.HarnessError("no free port on loopback")
