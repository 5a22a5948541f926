"""Tests of the comparison of what was told with what ran."""

import pytest

from filbertlift_core import model
from filbertlift_harness import demo
from filbertlift_harness import oracle
from filbertlift_harness import topology
from filbertlift_standins import load
from filbertlift_standins import schedule

BOOKING = schedule.Operation("booking", "POST", "/confirm/bookings")
STATUS = schedule.Operation("counter", "GET", "/desk/status")
PARTNER = schedule.Operation("partner", "POST", "/papers/partners/mokau/{n}")


def record(
    request_id: str,
    outcome: str,
    operation: schedule.Operation = BOOKING,
    at_s: float = 0.0,
) -> load.CallRecord:
    entry = model.Address("127.0.0.1", 1)
    planned = schedule.PlannedCall(at_s, operation, entry, request_id)
    return load.CallRecord(planned, outcome, 200, 0.1, "", "", 1.0)


def totals(*lines: str, service: str = "papers") -> dict[str, oracle.RunTotal]:
    found: dict[str, oracle.RunTotal] = {}
    oracle.parse_journal(lines, service, found)
    return found


@pytest.mark.parametrize(
    ("outcome", "lines", "problem"),
    [
        ("done", ["start a 1", "finish a 2"], None),
        ("done", ["start a 1", "finish a 2", "start a 3"], "twice"),
        ("unknown", ["start a 1", "start a 3"], "twice"),
        ("unknown", [], None),
        ("done", [], "lost"),
        ("done", ["start a 1", "cancel a 2"], "lost"),
        ("not-run", [], None),
        ("not-run", ["start a 1", "cancel a 2"], "false_not_run"),
        ("wrong", ["start a 1", "finish a 2"], "wrong"),
    ],
)
def test_each_broken_guarantee_is_found(
    outcome: str, lines: list[str], problem: str | None
) -> None:
    """Guards against an oracle that passes over a doubled or lost call."""
    verdict = oracle.judge([record("a", outcome)], totals(*lines))
    found = [text.partition("=")[0] for text in verdict.list_problems()]
    assert found == ([problem] if problem else [])


def test_idempotent_call_may_run_twice() -> None:
    lines = ["start a 1", "start a 2", "finish a 3"]
    verdict = oracle.judge([record("a", "done", STATUS)], totals(*lines))
    assert verdict.list_problems() == []


def test_call_without_an_end_is_a_problem() -> None:
    verdict = oracle.judge([], {}, unanswered=2)
    assert verdict.list_problems() == ["unanswered=2"]


def test_call_that_reaches_the_old_service_is_found() -> None:
    """Guards against a hand-over that only seems to be in force."""
    move = topology.TUSSOCK_ROAD.move
    records = [
        record("a", "done", PARTNER, at_s=1.0),
        record("b", "done", PARTNER, at_s=3.0),
        record("c", "done", PARTNER, at_s=3.0),
        record("d", "done", BOOKING, at_s=3.0),
    ]
    ran = totals("start a 1", "start b 3", "start d 3")
    ran |= totals("start c 3", service="mokau-custody")
    assert demo.find_strays(records, ran, move, 2.0) == (2, ("b",))
