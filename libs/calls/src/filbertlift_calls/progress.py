"""State of one call at its entry, across all of its attempts."""

import attrs

from filbertlift_calls import outcomes
from filbertlift_calls import records


@attrs.define(eq=False)
class Progress:
    """State of a call that the entry holds until it answers the caller.

    Attributes:
        call_id: id of the call.
        fingerprint: hash of the request.
        idempotent: whether it is safe to run more than once.
        keyed: whether it has an idempotency key.
        is_repeat: whether the caller marked it as a repeat.
        attempt: number of the current attempt; the first one has the number
            that the caller gave.
        attempts_left: number of further attempts that the operation allows.
        deadline: deadline by the clock of this node, in seconds.
        asker: identifies this request to keepers; the same on every link.
        may_have_run: whether an attempt may have run whose outcome this entry
            does not know.
        incarnation: incarnation of the keeper that the attempt was sent to.
        sent_at: time when the attempt was sent, in seconds.
    """

    call_id: str
    fingerprint: int
    idempotent: bool
    keyed: bool
    is_repeat: bool
    attempt: int
    attempts_left: int
    deadline: float
    asker: str
    may_have_run: bool = False
    incarnation: int = records.NO_INCARNATION
    sent_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.may_have_run = self.may_have_run or self.is_repeat

    def send(
        self, incarnation: int, keeper_deadline: float, now: float
    ) -> records.CallHead:
        """Records that the attempt is sent to a keeper and returns its head.

        A repeat names no incarnation, because the entry does not know where
        the caller's earlier attempt was sent.
        """
        self.incarnation = incarnation
        self.sent_at = now
        return records.CallHead(
            self.call_id,
            records.NO_INCARNATION if self.is_repeat else incarnation,
            self.attempt,
            self.fingerprint,
            self.idempotent,
            keeper_deadline,
            self.asker,
        )

    def make_inquiry(self, now: float) -> records.Inquiry:
        """Returns the inquiry that settles the attempt sent last."""
        return records.Inquiry(
            self.call_id,
            self.attempt,
            self.fingerprint,
            self.incarnation,
            now - self.sent_at,
            self.asker,
        )

    def end_attempt(
        self, attempt: outcomes.Attempt, has_budget: bool, now: float
    ) -> outcomes.Decision:
        """Returns what the entry does next; on a retry, counts the attempt."""
        decision = outcomes.decide(
            attempt,
            outcomes.CallFacts(
                self.idempotent,
                self.keyed,
                self.may_have_run,
                self.attempts_left,
                has_budget,
                self.deadline - now,
            ),
        )
        if isinstance(decision, outcomes.RetryElsewhere):
            self.may_have_run |= outcomes.may_have_run(attempt)
            self.attempts_left -= 1
            self.attempt += 1
        return decision
