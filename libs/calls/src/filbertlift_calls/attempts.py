"""Converts results of the keeper to the end of an asker's attempt."""

from filbertlift_calls import codes
from filbertlift_calls import outcomes
from filbertlift_calls import records
from filbertlift_core import model


def read_refusal(refused: records.Refused) -> outcomes.Attempt:
    """Returns the end of an attempt that a keeper refused."""
    has_not_run = refused.outcome is model.Outcome.NOT_RUN
    end = outcomes.AttemptEnd
    return outcomes.Attempt(
        end.NOT_RUN if has_not_run else end.UNKNOWN, refused.code
    )


def read_finished(
    outcome: model.Outcome | None, answer: records.KeptAnswer | None
) -> outcomes.Attempt:
    """Returns the end of a call that finished.

    The end is UNKNOWN if the answer was not kept.
    """
    if answer is None:
        return outcomes.Attempt(outcomes.AttemptEnd.UNKNOWN, codes.NOT_KEPT)
    if outcome is model.Outcome.UNKNOWN:
        return outcomes.Attempt(outcomes.AttemptEnd.UNKNOWN, answer.code)
    return outcomes.Attempt(outcomes.AttemptEnd.ANSWERED, status=answer.status)


def read_settlement(settlement: records.Settlement) -> outcomes.Attempt | None:
    """Returns how a settled attempt ended; None while the call is open."""
    if settlement.state is records.CallState.ABSENT:
        return outcomes.Attempt(outcomes.AttemptEnd.NOT_RUN, settlement.code)
    if settlement.state is records.CallState.UNKNOWN:
        return outcomes.Attempt(outcomes.AttemptEnd.KEEPER_LOST)
    if settlement.state is records.CallState.FINISHED:
        return read_finished(settlement.outcome, settlement.answer)
    return None
