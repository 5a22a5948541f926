"""One call at its entry node, over all its attempts."""

import attrs

from filbertlift_calls import outcomes
from filbertlift_calls import records


@attrs.define(eq=False)
class Progress:
    """What the entry remembers of a call until it answers the caller.

    Attributes:
        call_id: the id.
        fingerprint: hash of the request.
        idempotent: whether running it twice does no harm.
        keyed: it has an idempotency key.
        is_repeat: the caller marked it as a repeat.
        attempt: number of the attempt under way; that of the caller at first.
        attempts_left: further attempts that the operation allows.
        deadline: in seconds of this node's clock.
        asker: names this request to keepers, over every link.
        may_have_run: an attempt that this entry can't account for may have run.
        incarnation: keeper incarnation that the attempt was sent to.
        sent_at: when it was sent, in seconds.
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
        """Records that the attempt goes to a keeper and returns its head.

        A repeat names no incarnation, because its entry does not know where
        the caller's earlier attempt went.
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
        """Returns the question to settle the attempt that was sent last."""
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
        """Returns what follows; on a retry the next attempt is counted."""
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
