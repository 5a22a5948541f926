"""Tests of the open-loop load."""

import itertools
import random
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import task

from filbertlift_core import model
from filbertlift_standins import client
from filbertlift_standins import content
from filbertlift_standins import load
from filbertlift_standins import schedule

ENTRY = model.Address("127.0.0.1", 1)
SHORT = schedule.Operation.parse("counter=GET /desk/{n};share=0.5;work_ms=2")
LONG = schedule.Operation("long", "GET", "/archive", answer_bytes=10)


class FakeClient(client.Client):
    """Records requests; the test completes their results."""

    def __init__(self) -> None:
        self.sent: list[tuple[Any, ...]] = []
        self.results: list[defer.Deferred[client.Response]] = []

    def request(self, *args: Any, **_: Any) -> Any:
        self.sent.append(args)
        self.results.append(defer.Deferred())
        return self.results[-1]


def plan(
    seed: int, steps: str, duration_s: float
) -> list[schedule.PlannedCall]:
    return list(
        schedule.plan_calls(
            random.Random(seed),
            "c",
            schedule.RateStep.parse_list(steps),
            duration_s,
            [SHORT, LONG],
            [ENTRY],
        )
    )


def test_schedule_follows_the_seed_and_the_rates() -> None:
    """Guards against measurements that differ only because the load did."""
    calls = plan(1, "0:100,5:1000", 10)
    assert calls == plan(1, "0:100,5:1000", 10)
    late = sum(call.at_s >= 5 for call in calls)
    assert 400 < len(calls) - late < 600
    assert 4700 < late < 5300


def test_calls_are_sent_on_time_when_responses_are_late() -> None:
    """Guards against a load that slows down with the system under test."""
    clock, fake = task.Clock(), FakeClient()
    calls = plan(1, "0:100", 1)
    done = load.Load(clock, fake).start(iter(calls))
    clock.pump(itertools.repeat(0.01, 120))
    assert len(fake.sent) == len(calls)
    for result in fake.results:
        result.errback(client.RequestError("timeout"))
    records = done.result
    assert {record.outcome for record in records} == {"unknown"}
    assert max(record.latency_s for record in records) > 0.9


@pytest.mark.parametrize(
    ("status", "stated_outcome", "body", "outcome"),
    [
        (200, "done", content.make_body("t", "c-1", b""), "done"),
        (200, "done", content.make_body("t", "c-2", b""), "wrong"),
        (200, "done", content.make_body("t", "c-1", b"")[:-2], "wrong"),
        (503, "not-run", b"", "not-run"),
        (502, "unknown", b"", "unknown"),
        (500, "", b"", "unknown"),
    ],
)
def test_outcome_of_a_response(
    status: int, stated_outcome: str, body: bytes, outcome: str
) -> None:
    """Guards against a wrong or truncated response that counts as done."""
    planned = schedule.PlannedCall(0, SHORT, ENTRY, "c-1")
    headers = {"filbertlift-outcome": stated_outcome}
    response = client.Response(status, headers, body)
    assert load.classify_response(planned, b"", None, response) == outcome


def test_short_download_is_wrong() -> None:
    """Guards against a truncated download that counts as done."""
    planned = schedule.PlannedCall(0, LONG, ENTRY, "c-1")
    check = content.ContentCheck("c-1")
    check.feed(content.make_block("c-1", 0)[:9])
    response = client.Response(200, {}, b"")
    assert load.classify_response(planned, b"", check, response) == "wrong"


def test_repeat_keeps_the_unknown_outcome_of_the_first_attempt() -> None:
    """Guards against "not run" for a call whose first attempt may have run."""
    clock, fake = task.Clock(), FakeClient()
    repeat = load.make_repeat_policy([ENTRY], 2, random.Random(1))
    keyed = schedule.Operation("booking", "POST", "/b", keyed=True)
    call = schedule.PlannedCall(0.0, keyed, ENTRY, "c-1")
    done = load.Load(clock, fake, repeat=repeat).start(iter([call]))
    fake.results[0].errback(client.RequestError("timeout"))
    clock.advance(1)
    assert fake.sent[1][3]["Filbertlift-Attempt"] == "2"
    assert fake.sent[1][3]["Idempotency-Key"] == "c-1"
    headers = {"filbertlift-outcome": "not-run"}
    fake.results[1].callback(client.Response(503, headers, b""))
    assert [record.outcome for record in done.result] == ["unknown"]
