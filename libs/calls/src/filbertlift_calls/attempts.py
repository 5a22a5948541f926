"""What the keeper's results say about the attempt of an asker."""

from filbertlift_calls import codes
from filbertlift_calls import outcomes
from filbertlift_calls import records
from filbertlift_core import model


def read_refusal(refused: records.Refused) -> outcomes.Attempt:
    """Returns the attempt that a keeper refused."""
    is_known = refused.outcome is model.Outcome.NOT_RUN
    end = outcomes.AttemptEnd
    return outcomes.Attempt(
        end.NOT_RUN if is_known else end.UNKNOWN, refused.code
    )


def read_finished(
    outcome: model.Outcome | None, answer: records.KeptAnswer | None
) -> outcomes.Attempt:
    """Returns the attempt of a call that finished; its answer may be lost."""
    if answer is None:
        return outcomes.Attempt(outcomes.AttemptEnd.UNKNOWN, codes.NOT_KEPT)
    if outcome is model.Outcome.UNKNOWN:
        return outcomes.Attempt(outcomes.AttemptEnd.UNKNOWN, answer.code)
    return outcomes.Attempt(outcomes.AttemptEnd.ANSWERED, status=answer.status)


def read_settlement(settlement: records.Settlement) -> outcomes.Attempt | None:
    """Returns the settled attempt, or None while the call goes on."""
    if settlement.state is records.CallState.ABSENT:
        return outcomes.Attempt(outcomes.AttemptEnd.NOT_RUN, settlement.code)
    if settlement.state is records.CallState.UNKNOWN:
        return outcomes.Attempt(outcomes.AttemptEnd.KEEPER_LOST)
    if settlement.state is records.CallState.FINISHED:
        return read_finished(settlement.outcome, settlement.answer)
    return None
