"""Decaying rates."""

import math
from typing import Final

import attrs

# Time constant of a rate, in seconds.
RATE_WINDOW_S: Final = 1.0


@attrs.define(eq=False)
class DecayingRate:
    """Decaying average of amounts per second, such as calls or work."""

    value: float = 0.0
    updated: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount."""
        self.value = self.read(now) + amount / RATE_WINDOW_S
        self.updated = now

    def read(self, now: float) -> float:
        """Returns the rate now."""
        age = max(0.0, now - self.updated)
        return self.value * math.exp(-age / RATE_WINDOW_S)
