"""Tests of the keeper's limits; test_at_most_once tests its behaviour."""

import attrs
import pytest

from filbertlift_calls import codes
from filbertlift_calls import keeper
from filbertlift_calls import records
from filbertlift_core import model

DONE = model.Outcome.DONE


def make_head(number: int, attempt: int = 1) -> records.CallHead:
    return records.CallHead(
        f"call-{number}", 7, attempt, number, False, 5.0, "a"
    )


def run_call(state: keeper.Keeper, number: int, size: int) -> None:
    head = make_head(number)
    assert isinstance(state.begin(head, 0.0), records.Begun)
    state.start(head.call_id)
    answer = records.KeptAnswer(DONE, codes.DONE, 200, body=b"x" * size)
    state.finish(head.call_id, DONE, answer, 0.0)


def test_full_keeper_refuses_and_forgets_nothing() -> None:
    """Guards against a full keeper that forgets an id to hold a new one."""
    state = keeper.Keeper.create(7, max_entries=2)
    run_call(state, 1, 1)
    run_call(state, 2, 1)
    refused = state.begin(make_head(3), 0.0)
    assert isinstance(refused, records.Refused)
    assert refused.code == codes.KEEPER_FULL
    assert isinstance(state.begin(make_head(1, 2), 0.0), records.Repeat)
    inquiry = records.Inquiry("call-9", 1, 9, 7, 0.0, "a")
    assert state.settle(inquiry, 0.0).state is records.CallState.UNKNOWN
    assert state.expire(5.0 + keeper.RETENTION_S) == 2
    assert isinstance(state.begin(make_head(3), 40.0), records.Begun)


@pytest.mark.parametrize(
    ("size", "is_kept"),
    [(keeper.MAX_KEPT_BYTES, True), (keeper.MAX_KEPT_BYTES + 1, False)],
)
def test_large_answer_is_not_kept(size: int, is_kept: bool) -> None:
    """Guards against high memory use by large answers."""
    state = keeper.Keeper.create(7)
    run_call(state, 1, size)
    repeat = state.begin(make_head(1, 2), 0.0)
    assert isinstance(repeat, records.Repeat)
    assert repeat.outcome is DONE
    assert (repeat.answer is not None) is is_kept


def test_oldest_answers_are_dropped_but_their_ids_are_held() -> None:
    """Guards against kept answers that exceed the memory limit of the node."""
    state = keeper.Keeper.create(7, max_kept_total_bytes=1_000)
    for number in range(10):
        run_call(state, number, 400)
    assert state.kept_bytes == 800
    assert len(state) == 10
    state.expire(100.0)
    assert (state.kept_bytes, len(state), len(state._expiries)) == (0, 0, 0)


def test_events_out_of_order_raise() -> None:
    """Guards against the start of a withdrawn call."""
    state = keeper.Keeper.create(7)
    state.begin(make_head(1), 0.0)
    assert isinstance(state.withdraw("call-1", "a", 0.0), records.Withdrawn)
    with pytest.raises(keeper.exceptions.KeeperError):
        state.start("call-1")


def test_copy_of_a_withdrawn_or_refused_frame_does_not_run() -> None:
    """Guards against a run after the same frame was answered with NOT_RUN."""
    state = keeper.Keeper.create(7)
    state.begin(make_head(1), 0.0)
    state.withdraw("call-1", "a", 0.0)
    assert isinstance(state.begin(make_head(1), 1.0), records.Refused)
    state.begin(make_head(2), 0.0)
    other = attrs.evolve(make_head(2, 2), fingerprint=9)
    assert isinstance(state.begin(other, 0.0), records.Refused)
    state.drop("call-2", codes.DRAINING, 0.0)
    assert isinstance(state.begin(other, 1.0), records.Refused)
