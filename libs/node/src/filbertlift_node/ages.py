"""Encoding of the age of a version in messages."""

# Value for an age that is unknown or too large, from MAX_MS up.
UNKNOWN_MS = -1
MAX_MS = 2**31 - 1


def to_ms(age_s: float) -> int:
    """Returns an age in milliseconds, rounded up, or UNKNOWN_MS."""
    if age_s * 1000 >= MAX_MS:
        return UNKNOWN_MS
    return int(age_s * 1000) + 1


def from_ms(age_ms: int) -> float:
    """Returns an age in seconds, infinite if it is unknown."""
    return float("inf") if age_ms < 0 else age_ms / 1000
