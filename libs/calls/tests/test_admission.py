"""Tests of admission control for one target."""

from filbertlift_calls import admission
from filbertlift_calls import codes
from filbertlift_calls import tickets
from filbertlift_core import model

CHECK, COUNTER, LONG = model.WorkClass


def make_ticket(
    number: int,
    work: model.WorkClass,
    caller: str = "a",
    deadline: float = 1_000.0,
) -> tickets.Ticket:
    return tickets.Ticket(f"call-{number}", caller, work, deadline)


def measure(
    state: admission.Admission, work: model.WorkClass, s: float
) -> None:
    """Runs one call of the class to set its mean service time."""
    started = state.offer(make_ticket(-1, work), 0.0)
    assert isinstance(started, tickets.Start)
    state.release(started.ticket, s, 0.0)


def offer_long(state: admission.Admission, count: int, now: float) -> int:
    """Returns how many of the offered long calls start at once."""
    results = [state.offer(make_ticket(i, LONG), now) for i in range(count)]
    return sum(isinstance(result, tickets.Start) for result in results)


def test_long_leaves_half_of_the_slots_while_short_work_comes() -> None:
    """Guards against long calls that block short ones."""
    state = admission.make_priority_admission(8)
    measure(state, COUNTER, 0.01)
    measure(state, LONG, 1.0)
    assert offer_long(state, 8, 0.0) == 4
    short = state.offer(make_ticket(9, COUNTER), 0.0)
    assert isinstance(short, tickets.Start)


def test_long_gets_more_slots_if_they_become_free_fast_enough() -> None:
    """Guards against idle slots: four calls of 0.04 s free one each 0.01 s."""
    state = admission.make_priority_admission(8)
    measure(state, COUNTER, 0.01)
    measure(state, LONG, 0.04)
    assert offer_long(state, 8, 0.0) == 7


def test_long_work_gets_the_idle_slots_without_short_work() -> None:
    """Guards against slots that stay idle while only long work waits."""
    state = admission.make_priority_admission(8)
    measure(state, COUNTER, 0.01)
    measure(state, LONG, 1.0)
    assert offer_long(state, 8, 0.0) == 4
    later = state.poll(admission.SHORT_IDLE_S + 0.1)
    assert len(later) == 3


def test_callers_of_one_class_are_served_round_robin() -> None:
    """Guards against a caller whose queued calls delay all other callers."""
    state = admission.make_priority_admission(1)
    running = make_ticket(0, COUNTER)
    state.offer(running, 0.0)
    for number, caller in enumerate("aaab", start=1):
        state.offer(make_ticket(number, COUNTER, caller), 0.0)
    order = []
    for _ in range(4):
        running = state.release(running, 0.01, 0.0)[0].ticket
        order.append(running.caller)
    assert order == ["a", "b", "a", "a"]


def test_early_shed_returns_the_time_until_the_wait_fits() -> None:
    """Guards against calls that expire in the queue, and a wrong retry time."""
    state = admission.make_priority_admission(1)
    measure(state, COUNTER, 1.0)
    for number in range(3):
        state.offer(make_ticket(number, COUNTER), 0.0)
    shed = state.offer(make_ticket(4, COUNTER, deadline=2.5), 0.0)
    assert isinstance(shed, tickets.Shed)
    assert shed.code == codes.WAIT
    # Two waiting calls, a running one and this one take 1 s each: 4 s in total,
    # 1.5 s more than the 2.5 s to the deadline.
    assert abs(shed.retry_after_s - 1.5) < 1e-9


def test_expired_call_gets_no_slot() -> None:
    """Guards against running calls whose caller has stopped waiting."""
    state = admission.make_priority_admission(1)
    running = make_ticket(0, COUNTER)
    state.offer(running, 0.0)
    state.offer(make_ticket(1, COUNTER, deadline=1.0), 0.0)
    state.offer(make_ticket(2, COUNTER, deadline=9.0), 0.0)
    results = state.release(running, 0.1, 2.0)
    assert [type(r) for r in results] == [tickets.Drop, tickets.Start]


def test_full_queue_of_long_work_does_not_shed_a_check() -> None:
    """Guards against a queue limit that is shared by all classes."""
    state = admission.make_priority_admission(1, queue_limit=1)
    for number in range(3):
        last = state.offer(make_ticket(number, LONG), 0.0)
    assert isinstance(last, tickets.Shed)
    assert last.code == codes.QUEUE_FULL
    check = state.offer(make_ticket(9, CHECK), 0.0)
    assert isinstance(check, tickets.Queued)


def test_withdrawn_calls_leak_no_memory() -> None:
    """Guards against a heap of deadlines that grows with each withdrawal."""
    state = admission.make_priority_admission(1)
    state.offer(make_ticket(0, COUNTER), 0.0)
    for number in range(1, 1_000):
        state.offer(make_ticket(number, COUNTER), 0.0)
        assert state.withdraw(f"call-{number}")
    assert len(state._deadlines) <= admission.MAX_STALE_DEADLINES + 1


def test_fifo_keeps_the_order_of_arrival() -> None:
    """Guards against a baseline that takes classes into account."""
    state = admission.make_fifo_admission(1)
    running = make_ticket(0, COUNTER)
    state.offer(running, 0.0)
    state.offer(make_ticket(1, LONG), 0.0)
    state.offer(make_ticket(2, CHECK), 0.0)
    assert state.release(running, 0.1, 0.0)[0].ticket.call_id == "call-1"


def test_paused_target_starts_nothing_until_it_resumes() -> None:
    """Guards against calls that start at a draining target."""
    state = admission.make_priority_admission(1)
    running = make_ticket(0, COUNTER)
    state.offer(running, 0.0)
    state.offer(make_ticket(1, COUNTER), 0.0)
    state.pause(codes.DRAINING)
    assert isinstance(state.offer(make_ticket(2, CHECK), 0.0), tickets.Shed)
    assert state.release(running, 0.1, 0.0) == []
    assert len(state.resume(0.0)) == 1
