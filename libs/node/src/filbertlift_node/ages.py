"""Ages of a version as messages carry them."""

# An age that is not known travels as this value.
UNKNOWN_MS = -1
MAX_MS = 2**31 - 1


def to_ms(age_s: float) -> int:
    """Returns an age in milliseconds, rounded up."""
    if age_s * 1000 >= MAX_MS:
        return UNKNOWN_MS
    return int(age_s * 1000) + 1


def from_ms(age_ms: int) -> float:
    """Returns an age in seconds, infinite when it is not known."""
    return float("inf") if age_ms < 0 else age_ms / 1000
