"""Tests of the keeper's side of a call."""

import fakes
from twisted.internet import task

from filbertlift_calls import codes
from filbertlift_core import model
from filbertlift_node import attempts


def make(slots: int = 2):
    clock = task.Clock()
    pool = fakes.FakePool()
    return clock, pool, fakes.make_relay(clock, pool, slots=slots)


def test_repeat_of_a_running_call_shares_its_answer() -> None:
    """Guards against a booking that runs twice for a repeated key."""
    _, pool, relay = make()
    first, second = fakes.Heard(), fakes.Heard()
    call = fakes.make_call(keyed=True)
    relay.accept(call, fakes.make_route(), first.listener)
    relay.accept(call, fakes.make_route(), second.listener)
    assert len(pool.requests) == 1
    pool.requests[0].answer(b"one")
    assert [h.answers[0].body for h in (first, second)] == [b"one", b"one"]


def test_asker_that_leaves_takes_no_answer_from_another() -> None:
    """Guards against a withdrawal that silences everyone who waits."""
    _, pool, relay = make()
    first, second = fakes.Heard(), fakes.Heard()
    call = fakes.make_call(keyed=True)
    asker = relay.accept(call, fakes.make_route(), first.listener)
    other = fakes.attrs.evolve(call, asker="id2")
    relay.accept(other, fakes.make_route(), second.listener)
    assert asker is not None
    asker.cancel(None)
    pool.requests[0].answer(b"one")
    assert not first.answers
    assert second.answers[0].body == b"one"


def test_waiting_call_that_is_withdrawn_never_runs() -> None:
    """Guards against a run after "not run" was confirmed."""
    _, pool, relay = make(slots=1)
    relay.accept(fakes.make_call(), fakes.make_route(), fakes.Heard().listener)
    waiting = fakes.make_call(call_id=b"id2")
    asker = relay.accept(waiting, fakes.make_route(), fakes.Heard().listener)
    told: list[bool] = []
    assert asker is not None
    asker.cancel(told.append)
    pool.requests[0].answer()
    again = fakes.Heard()
    relay.accept(waiting, fakes.make_route(), again.listener)
    assert told == [False]
    assert len(pool.requests) == 1
    assert again.answers[0].outcome is model.Outcome.NOT_RUN


def test_lost_target_is_unknown_after_the_request_was_sent() -> None:
    _, pool, relay = make()
    sent, unsent = fakes.Heard(), fakes.Heard()
    relay.accept(fakes.make_call(), fakes.make_route(), sent.listener)
    other = fakes.make_call(call_id=b"id2")
    relay.accept(other, fakes.make_route(), unsent.listener)
    pool.requests[0].fail(sent=True)
    pool.requests[1].fail(sent=False)
    assert sent.answers[0].outcome is model.Outcome.UNKNOWN
    assert unsent.answers[0].outcome is model.Outcome.NOT_RUN


def test_slots_bound_what_the_target_runs() -> None:
    _, pool, relay = make(slots=2)
    for number in range(5):
        call = fakes.make_call(call_id=b"id%d" % number)
        relay.accept(call, fakes.make_route(), fakes.Heard().listener)
    assert len(pool.requests) == 2
    pool.requests[0].answer()
    assert len(pool.requests) == 3


def test_long_answer_is_streamed_and_a_repeat_is_not() -> None:
    _, pool, relay = make()
    heard, repeat = fakes.Heard(), fakes.Heard()
    call = fakes.make_call(keyed=True)
    relay.accept(call, fakes.make_route(), heard.listener)
    relay.accept(call, fakes.make_route(), repeat.listener)
    events = pool.requests[0].events
    events.on_head(200, (), None)
    events.on_data(b"x" * (attempts.MAX_BUFFERED_BYTES + 1))
    events.on_data(b"y")
    events.on_end()
    assert heard.answers[0].more
    assert heard.chunks[-1].last
    assert repeat.answers[0].code == codes.NOT_KEPT


def test_target_that_sheds_has_not_run_the_call() -> None:
    _, pool, relay = make()
    heard = fakes.Heard()
    relay.accept(fakes.make_call(), fakes.make_route(), heard.listener)
    events = pool.requests[0].events
    shed = fakes.messages.Header("Filbertlift-Shed", "1")
    events.on_head(503, (shed,), 0)
    events.on_end()
    assert heard.answers[0].outcome is model.Outcome.NOT_RUN


def test_draining_target_gives_waiting_work_back() -> None:
    """Guards against work that waits for a target that is leaving."""
    _, pool, relay = make(slots=1)
    running, waiting = fakes.Heard(), fakes.Heard()
    relay.accept(fakes.make_call(), fakes.make_route(), running.listener)
    other = fakes.make_call(call_id=b"id2")
    relay.accept(other, fakes.make_route(), waiting.listener)
    relay.pause(codes.DRAINING)
    assert waiting.answers[0].code == codes.DRAINING
    pool.requests[0].answer()
    assert running.answers[0].outcome is model.Outcome.DONE


def test_target_that_gave_up_at_the_deadline_is_unknown() -> None:
    """Guards against "done" for a booking that the target cancelled.

    Found by the soak test with seed 2: a slowed target answered 504.
    """
    _, pool, relay = make()
    heard = fakes.Heard()
    relay.accept(fakes.make_call(), fakes.make_route(), heard.listener)
    pool.requests[0].answer(status=504)
    assert heard.answers[0].outcome is model.Outcome.UNKNOWN
    assert heard.answers[0].code == codes.TIMEOUT
