"""Token buckets that limit retries, hedges and bytes across paid links.

A failure is retried on one level of a chain of calls only: the level that
retried it, or had no budget left for that, marks its answer as `retried`, and
the levels above don't retry it again. Without this rule, two attempts on each
of 15 levels would cause 2**15 runs at the end of a failing chain.

The budgets limit the extra attempts of one node, without regard to the others;
`repeats` of the library `mesh` uses them to keep a limit that holds for all
nodes together.
"""

from typing import Final

import attrs

from filbertlift_calls import exceptions

RETRY_SHARE: Final = 0.10
HEDGE_SHARE: Final = 0.05
# Retries that a node with few calls may still make, per second.
MIN_RATE_PER_S: Final = 1.0
# Maximum number of saved tokens, which is the largest burst of extra attempts.
BURST: Final = 20.0


@attrs.define(eq=False)
class TokenBucket:
    """A token bucket that refills at a constant rate.

    Attributes:
        rate: tokens added per second.
        burst: maximum number of tokens held.
        tokens: number of tokens held at `updated`.
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
            raise exceptions.CallError(
                f"rate must be >= 0 and burst > 0, not {rate} and {burst}"
            )
        return cls(rate, burst, burst, now)

    def add(self, tokens: float) -> None:
        """Adds tokens up to the maximum."""
        self.tokens = min(self.burst, self.tokens + tokens)

    def has_tokens(self, tokens: float, now: float) -> bool:
        """Refills the bucket and returns whether it holds this many tokens."""
        if now > self.updated:
            self.add((now - self.updated) * self.rate)
            self.updated = now
        return self.tokens >= tokens

    def take(self, tokens: float, now: float) -> bool:
        """Takes the tokens if the bucket holds all of them."""
        if not self.has_tokens(tokens, now):
            return False
        self.tokens -= tokens
        return True


@attrs.define(eq=False)
class ShareBudget:
    """Allows extra attempts for a share of all calls.

    Attributes:
        share: tokens added for each call.
        bucket: one token is one extra attempt.
    """

    share: float
    bucket: TokenBucket

    def note_call(self) -> None:
        """Adds the share of one call; to be called on its first attempt."""
        self.bucket.add(self.share)

    def has_left(self, now: float) -> bool:
        """Returns whether an extra attempt is allowed now."""
        return self.bucket.has_tokens(1.0, now)

    def take(self, now: float) -> bool:
        """Takes the token of one extra attempt if there is one."""
        return self.bucket.take(1.0, now)


class RetryBudget(ShareBudget):
    """Limits retries, by default to 10% of the calls of this node."""

    @classmethod
    def create(cls, now: float, share: float = RETRY_SHARE) -> "RetryBudget":
        """Returns a full budget."""
        return cls(share, TokenBucket.create(MIN_RATE_PER_S, BURST, now))


class HedgeBudget(ShareBudget):
    """Limits hedges, by default to 5% of the calls of this node."""

    @classmethod
    def create(cls, now: float, share: float = HEDGE_SHARE) -> "HedgeBudget":
        """Returns a full budget."""
        return cls(share, TokenBucket.create(MIN_RATE_PER_S / 2, BURST, now))


@attrs.define(eq=False)
class LinkBudget:
    """Limits the bytes sent across the paid link between regions.

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
        """Takes the bytes of one call if the budget holds them."""
        return self.bucket.take(size, now)

    def charge(self, size: int, now: float) -> None:
        """Charges bytes that can't be refused, such as those of an answer.

        The number of tokens may become negative.
        """
        self.bucket.has_tokens(0, now)
        self.bucket.tokens -= size
