"""Tests of a call at its entry: attempts, settlement and what is told."""

import fakes

from filbertlift_calls import codes
from filbertlift_core import model
from filbertlift_node import attempts
from filbertlift_wire import messages


def make_linked(**route_changes):
    """Returns an entry whose only target is at OTHER, and the link to it."""
    fixture = fakes.make_entry([fakes.OTHER], **route_changes)
    link = fakes.FakeLink(fakes.make_member(fakes.OTHER))
    fixture.links.reachable[fakes.OTHER] = link
    return fixture, link


def test_answer_is_passed_on_whole_with_outcome_and_name() -> None:
    fixture, link = make_linked()
    reply = fixture.call()
    fixture.receive(link, fakes.make_answer(link.take(messages.Call)))
    assert (reply.status, reply.body, reply.outcome) == (200, b"booked", "done")
    assert reply.headers["Filbertlift-Call"].endswith("@10.0.0.2:9000,7,0")


def test_local_target_takes_the_call_without_a_link() -> None:
    fixture = fakes.make_entry([fakes.OWN])
    reply = fixture.call()
    fixture.pool.requests[0].answer(b"here")
    assert (reply.body, reply.outcome) == (b"here", "done")


def test_lost_link_is_settled_and_not_run_again() -> None:
    """Guards against a booking that is sent twice after a lost answer."""
    fixture, link = make_linked()
    reply = fixture.call()
    call = link.take(messages.Call)
    fixture.lose(link)
    second = fakes.FakeLink(link.peer)
    fixture.links.reachable[fakes.OTHER] = second
    fixture.clock.advance(attempts_delay())
    question = second.take(messages.Settle)
    assert question.call_id == call.call_id
    assert reply.status is None
    fixture.receive(second, make_settled(question, model.Outcome.DONE))
    assert (reply.body, reply.outcome) == (b"kept", "done")
    assert not [m for m in second.sent if isinstance(m, messages.Call)]


def test_settlement_of_a_running_call_is_asked_again() -> None:
    fixture, link = make_linked()
    reply = fixture.call()
    link.take(messages.Call)
    fixture.lose(link)
    second = fakes.FakeLink(link.peer)
    fixture.links.reachable[fakes.OTHER] = second
    fixture.clock.advance(attempts_delay())
    question = second.take(messages.Settle)
    fixture.receive(
        second,
        make_settled(question, model.Outcome.UNKNOWN, running=True, status=0),
    )
    fixture.clock.advance(attempts_delay())
    question = second.take(messages.Settle)
    fixture.receive(second, make_settled(question, model.Outcome.DONE))
    assert reply.outcome == "done"


def test_deadline_during_settlement_is_unknown() -> None:
    """Guards against "not run" for a call whose keeper can't be reached.

    An attempt that is being settled counted as ended, so the deadline found
    nothing under way and told "not run".
    """
    fixture, link = make_linked()
    reply = fixture.call()
    link.take(messages.Call)
    fixture.links.reachable.clear()
    fixture.lose(link)
    for _ in range(30):
        fixture.clock.advance(0.1)
    assert (reply.status, reply.outcome) == (504, "unknown")


def test_deadline_is_not_run_only_after_a_confirmed_withdrawal() -> None:
    """Guards against "not run" before the keeper confirmed it."""
    fixture, link = make_linked()
    reply = fixture.call()
    call = link.take(messages.Call)
    fixture.clock.advance(2.0)
    cancel = link.take(messages.Cancel)
    assert reply.status is None
    fixture.receive(
        link, messages.Cancelled(cancel.stream, call.call_id, False)
    )
    assert (reply.status, reply.outcome) == (503, "not-run")


def test_deadline_without_a_confirmation_is_unknown() -> None:
    fixture, link = make_linked()
    reply = fixture.call()
    fixture.clock.advance(2.0)
    fixture.clock.advance(0.3)
    assert (reply.status, reply.outcome) == (504, "unknown")


def test_hedged_read_past_its_deadline_is_never_told_not_run() -> None:
    """Guards against "not run" while the other attempt may have run."""
    fixture = fakes.make_entry(
        [fakes.OTHER, fakes.THIRD], idempotent=True, hedge=True
    )
    for address in (fakes.OTHER, fakes.THIRD):
        fixture.links.reachable[address] = fakes.FakeLink(
            fakes.make_member(address)
        )
    service = fixture.entry.find_views("confirm")
    service.medians_s[:] = [0.01, 0.01]
    reply = fixture.call()
    fixture.clock.advance(0.05)
    links = list(fixture.links.links.values())
    assert len(links) == 2, "the read was hedged"
    fixture.clock.advance(2.0)
    for link in links:
        for cancel in list(link.sent):
            if isinstance(cancel, messages.Cancel):
                fixture.receive(
                    link,
                    messages.Cancelled(cancel.stream, cancel.call_id, False),
                )
    assert reply.outcome == "unknown"


def test_unreachable_target_is_not_run() -> None:
    fixture, _ = make_linked()
    fixture.links.reachable.clear()
    reply = fixture.call()
    assert (reply.status, reply.outcome) == (503, "not-run")


def test_not_run_is_retried_at_another_target() -> None:
    fixture = fakes.make_entry([fakes.OTHER, fakes.THIRD])
    for address in (fakes.OTHER, fakes.THIRD):
        fixture.links.reachable[address] = fakes.FakeLink(
            fakes.make_member(address)
        )
    reply = fixture.call()
    (first,) = fixture.links.links.values()
    call = first.take(messages.Call)
    fixture.receive(
        first,
        fakes.make_answer(
            call,
            outcome=model.Outcome.NOT_RUN,
            code=codes.LEAVING,
            status=503,
        ),
    )
    (second,) = [item for item in fixture.links.links.values() if item != first]
    fixture.receive(second, fakes.make_answer(second.take(messages.Call)))
    assert reply.outcome == "done"


def test_truncated_stream_aborts_the_connection() -> None:
    """Guards against a part of a download that looks whole."""
    fixture, link = make_linked()
    reply = fixture.call()
    call = link.take(messages.Call)
    fixture.receive(link, fakes.make_answer(call, more=True, body=b"part"))
    fixture.lose(link)
    assert reply.is_aborted and not reply.is_complete


def test_slow_caller_stops_the_credit_of_its_stream() -> None:
    """Guards against a download that is buffered at the entry."""
    fixture, link = make_linked()
    reply = fixture.call()
    call = link.take(messages.Call)
    fixture.receive(link, fakes.make_answer(call, more=True, body=b"x"))
    reply.is_full = True
    part = messages.Chunk(call.stream, False, False, b"x" * 100_000)
    fixture.entry.remote.receive_chunk(link, part)
    link.sent.clear()
    for _ in range(5):
        fixture.entry.remote.receive_chunk(link, part)
    assert not link.sent
    reply.is_full = False
    assert reply.on_drained is not None
    reply.on_drained()
    assert link.take(messages.Credit).bytes == 500_000


def test_caller_that_hangs_up_withdraws_its_call() -> None:
    fixture, link = make_linked()
    reply = fixture.call()
    assert reply.on_gone is not None
    reply.on_gone()
    link.take(messages.Cancel)
    assert not fixture.entry.flows


def test_repeat_names_no_incarnation() -> None:
    """Guards against a repeat that a restarted keeper takes for a first."""
    fixture, link = make_linked()
    fixture.call(idempotency_key="k", filbertlift_attempt="2")
    call = link.take(messages.Call)
    assert (call.incarnation, call.attempt, call.keyed) == (0, 2, True)


def attempts_delay() -> float:
    return 0.11


def make_settled(question, outcome, running=False, status=200):
    return messages.Settled(
        stream=question.stream,
        call_id=question.call_id,
        outcome=outcome,
        known=True,
        running=running,
        code="",
        status=status,
        headers=(),
        body=b"kept",
    )


def test_whole_answers_fit_one_frame() -> None:
    assert attempts.MAX_BUFFERED_BYTES <= attempts.FRAME_BYTES


def test_repeat_that_is_refused_for_now_is_unknown() -> None:
    """Guards against "not run" for a booking whose first attempt ran.

    A node that was not ready refused a marked repeat with "not run".
    """
    fixture, _ = make_linked()
    fixture.entry.refusal = codes.NOT_READY
    first = fixture.call(idempotency_key="k")
    repeat = fixture.call(idempotency_key="k", filbertlift_attempt="2")
    assert (first.status, first.outcome) == (503, "not-run")
    assert (repeat.status, repeat.outcome) == (502, "unknown")
    assert b"earlier attempt may have run" in repeat.body


def test_unreachable_keeper_of_a_repeat_is_unknown() -> None:
    """Guards against an unknown outcome with the status of a refusal."""
    fixture, _ = make_linked()
    fixture.links.reachable.clear()
    reply = fixture.call(idempotency_key="k", filbertlift_attempt="2")
    assert (reply.status, reply.outcome) == (502, "unknown")
