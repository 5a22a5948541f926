"""Tests of the comparison of reported outcomes with the runs at targets."""

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


def make_record(
    request_id: str,
    outcome: str,
    operation: schedule.Operation = BOOKING,
    at_s: float = 0.0,
) -> load.CallRecord:
    entry = model.Address("127.0.0.1", 1)
    planned = schedule.PlannedCall(at_s, operation, entry, request_id)
    return load.CallRecord(planned, outcome, 200, 0.1, "", "", 1.0)


def make_totals(
    *lines: str, service: str = "papers"
) -> dict[str, oracle.RunTotal]:
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
    """Guards against an oracle that misses a call run twice or lost."""
    verdict = oracle.compare_outcomes(
        [make_record("a", outcome)], make_totals(*lines)
    )
    found = [text.partition("=")[0] for text in verdict.list_problems()]
    assert found == ([problem] if problem else [])


def test_idempotent_call_may_run_twice() -> None:
    """Guards against an oracle that reports a permitted second run."""
    lines = ["start a 1", "start a 2", "finish a 3"]
    verdict = oracle.compare_outcomes(
        [make_record("a", "done", STATUS)], make_totals(*lines)
    )
    assert verdict.list_problems() == []


def test_unanswered_call_is_a_problem() -> None:
    """Guards against an oracle that misses calls which never end."""
    verdict = oracle.compare_outcomes([], {}, unanswered=2)
    assert verdict.list_problems() == ["unanswered=2"]


def test_call_that_ran_at_the_old_service_is_found() -> None:
    """Guards against a demo that passes while calls reach the old service."""
    move = topology.TUSSOCK_ROAD.move
    records = [
        make_record("a", "done", PARTNER, at_s=1.0),
        make_record("b", "done", PARTNER, at_s=3.0),
        make_record("c", "done", PARTNER, at_s=3.0),
        make_record("d", "done", BOOKING, at_s=3.0),
    ]
    ran = make_totals("start a 1", "start b 3", "start d 3")
    ran |= make_totals("start c 3", service="mokau-custody")
    assert demo.find_strays(records, ran, move, 2.0) == (2, ("b",))
