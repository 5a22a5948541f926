"""Running averages of times."""

from typing import Final

import attrs

# Weight of each new sample after the first 1 / DEFAULT_GAIN samples, which have
# equal weights.
DEFAULT_GAIN: Final = 0.05


@attrs.define(eq=False)
class Mean:
    """Running average of times, in seconds; 0 before the first sample.

    Attributes:
        value: the average.
        count: number of samples.
        gain: minimum weight of a new sample.
    """

    value: float = 0.0
    count: int = 0
    gain: float = DEFAULT_GAIN

    def add(self, sample: float) -> None:
        """Adds one sample."""
        self.count += 1
        gain = max(self.gain, 1.0 / self.count)
        self.value += gain * (sample - self.value)
