"""Running averages of times."""

from typing import Final

import attrs

# Weight of the newest sample once its inverse number of them were taken.
DEFAULT_GAIN: Final = 0.05


@attrs.define(eq=False)
class Mean:
    """Running average of times, in seconds; 0 while unmeasured.

    Attributes:
        value: the average.
        count: samples taken.
        gain: weight of the newest sample at least.
    """

    value: float = 0.0
    count: int = 0
    gain: float = DEFAULT_GAIN

    def add(self, sample: float) -> None:
        """Adds one sample."""
        self.count += 1
        gain = max(self.gain, 1.0 / self.count)
        self.value += gain * (sample - self.value)
