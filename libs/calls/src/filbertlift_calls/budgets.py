"""Token buckets that bound retries, hedges and bytes across paid links.

Retries can't multiply over the 15 levels of a chain: an answer whose level
has retried, or wanted to and had no budget left, carries `retried`, and no
level above retries it. Without this rule two attempts a level would make
2**15 runs at the bottom of one failing chain.
"""

from typing import Final

import attrs

from filbertlift_calls import exceptions

RETRY_SHARE: Final = 0.10
HEDGE_SHARE: Final = 0.05
# A node with few calls may still retry this often a second.
FLOOR_PER_S: Final = 1.0
# Tokens held at most: the retries of a burst after a quiet time.
BURST: Final = 20.0


@attrs.define(eq=False)
class TokenBucket:
    """Tokens that refill with time.

    Attributes:
        rate: tokens a second.
        burst: tokens held at most.
        tokens: tokens held at `updated`.
        updated: time of the last refill, in seconds.
    """

    rate: float
    burst: float
    tokens: float
    updated: float

    @classmethod
    def create(cls, rate: float, burst: float, now: float) -> "TokenBucket":
        """Returns a full bucket.

        Raises:
            CallError: if the rate is negative or the burst not positive.
        """
        if rate < 0 or burst <= 0:
            raise exceptions.CallError(f"rate {rate} and burst {burst}")
        return cls(rate, burst, burst, now)

    def add(self, tokens: float) -> None:
        """Adds tokens up to the burst."""
        self.tokens = min(self.burst, self.tokens + tokens)

    def peek(self, tokens: float, now: float) -> bool:
        """Returns whether this many tokens are there."""
        if now > self.updated:
            self.add((now - self.updated) * self.rate)
            self.updated = now
        return self.tokens >= tokens

    def take(self, tokens: float, now: float) -> bool:
        """Takes the tokens if all of them are there."""
        if not self.peek(tokens, now):
            return False
        self.tokens -= tokens
        return True


@attrs.define(eq=False)
class ShareBudget:
    """Allows an extra attempt for a share of all calls.

    Attributes:
        share: extra attempts for each call.
        bucket: one token is one extra attempt.
    """

    share: float
    bucket: TokenBucket

    def note_call(self) -> None:
        """Adds the share of one first attempt."""
        self.bucket.add(self.share)

    def has_left(self, now: float) -> bool:
        """Returns whether an extra attempt is allowed now."""
        return self.bucket.peek(1.0, now)

    def take(self, now: float) -> bool:
        """Uses up one extra attempt if it is allowed."""
        return self.bucket.take(1.0, now)


class RetryBudget(ShareBudget):
    """Retries: 10% of the calls of this node."""

    @classmethod
    def create(cls, now: float, share: float = RETRY_SHARE) -> "RetryBudget":
        """Returns a full budget."""
        return cls(share, TokenBucket.create(FLOOR_PER_S, BURST, now))


class HedgeBudget(ShareBudget):
    """Hedges: 5% of the calls of this node."""

    @classmethod
    def create(cls, now: float, share: float = HEDGE_SHARE) -> "HedgeBudget":
        """Returns a full budget."""
        return cls(share, TokenBucket.create(FLOOR_PER_S / 2, BURST, now))


@attrs.define(eq=False)
class LinkBudget:
    """Bytes across the paid link between regions.

    Attributes:
        bucket: one token is one byte.
    """

    bucket: TokenBucket

    @classmethod
    def create(
        cls, bytes_per_s: float, now: float, burst_s: float = 1.0
    ) -> "LinkBudget":
        """Returns a budget that holds at most `burst_s` seconds of bytes."""
        return cls(TokenBucket.create(bytes_per_s, bytes_per_s * burst_s, now))

    def take(self, size: int, now: float) -> bool:
        """Takes the bytes of one call if they are there."""
        return self.bucket.take(size, now)

    def charge(self, size: int, now: float) -> None:
        """Charges bytes that were sent anyway, such as those of an answer."""
        self.bucket.peek(0, now)
        self.bucket.tokens -= size
