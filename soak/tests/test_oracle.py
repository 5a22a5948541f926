"""Tests that the oracle reports broken guarantees and only these."""

import attrs
import pytest

from filbertlift_mesh import configuration
from filbertlift_soak import oracle
from filbertlift_soak import records

Kind = configuration.CallKind
GUARANTEES = oracle.Guarantees(
    startup_s=2.0,
    recovery_s=3.0,
    config_s=2.5,
    drain_s=2.5,
    timeout_s=1.5,
    repeat_ratio=0.2,
    repeat_slack=2.0,
    repeat_window_s=10.0,
    services={"look": frozenset(("desk",))},
    split_route="look",
)
BODY = records.make_body("c1", 20)


def make_call(request_id="c1", **changes):
    fields = {
        "request_id": request_id,
        "host": "h1",
        "caller": "desk",
        "kind": Kind.UNSAFE,
        "method": "POST",
        "path": "/look/w1/1",
        "body": b"x",
        "sent_at": 10.0,
        "timeout_s": 2.0,
        "ended_at": 10.1,
        "status": 200,
        "signature": records.sign("t1", request_id, BODY),
        "answer": BODY,
    }
    return records.CallRecord(**{**fields, **changes})


def make_run(request_id="c1", **changes):
    fields = {
        "request_id": request_id,
        "host": "h2",
        "target_id": "t1",
        "service": "desk",
        "method": "POST",
        "path": "/look/w1/1",
        "body": b"x",
        "caller": "desk",
        "timeout_s": 1.9,
        "at": 10.05,
        "status": 200,
    }
    return records.RunRecord(**{**fields, **changes})


def find_problems(calls, runs, **fields):
    journal = records.Journal(
        {call.request_id: call for call in calls}, runs, **fields
    )
    return oracle.find_problems(journal, GUARANTEES)


def test_a_call_answered_by_its_own_run_is_not_reported():
    assert find_problems([make_call()], [make_run()]) == []


@pytest.mark.parametrize(
    ("call", "runs", "word"),
    [
        (make_call(), [make_run(), make_run(target_id="t2")], "twice"),
        (make_call(status=503, signature=""), [make_run()], "refused"),
        (make_call(), [make_run(), make_run("c9")], "unasked"),
        (make_call(), [make_run(body=b"y")], "changed"),
        (make_call(), [make_run(caller="other")], "changed"),
        (make_call(), [make_run(timeout_s=9.0)], "deadline"),
        (make_call(answer=BODY[:-1]), [make_run()], "mixed"),
        (make_call(signature=""), [make_run()], "mixed"),
        (make_call(), [make_run(status=500)], "mixed"),
        (make_call(ended_at=None, status=0), [make_run()], "unanswered"),
        (make_call(), [make_run(service="issue")], "route"),
    ],
)
def test_a_broken_guarantee_is_reported(call, runs, word):
    problems = find_problems([call], runs)
    assert [problem.partition(":")[0] for problem in problems] == [word]


def test_a_run_long_after_an_acknowledged_departure_is_reported():
    late = find_problems([make_call()], [make_run()], departures={"t1": 7.0})
    assert late[0].startswith("drain")
    assert (
        find_problems([make_call()], [make_run()], departures={"t1": 8.0}) == []
    )


@pytest.mark.parametrize(
    ("published", "is_reported"),
    [
        ([(1.0, "desk")], True),
        ([(1.0, "")], False),
        ([(1.0, "archive")], False),
        ([(1.0, ""), (8.0, "desk")], False),
        ([(1.0, ""), (7.0, "desk")], True),
        ([(1.0, "desk"), (9.9, "")], False),
        ([(1.0, "desk"), (10.1, "")], True),
    ],
)
def test_a_call_at_a_service_without_weight_is_reported(published, is_reported):
    problems = find_problems(
        [make_call()],
        [make_run()],
        publications=[
            records.Publication(number, sent_at, None, unweighted)
            for number, (sent_at, unweighted) in enumerate(published)
        ],
    )
    assert bool(problems) == is_reported


def test_too_many_repeats_are_reported():
    calls = [make_call(f"c{n}", kind=Kind.SAFE, status=0) for n in range(9)]
    runs = [make_run(call.request_id, status=0) for call in calls]
    assert find_problems(calls, runs + runs[:3]) == []
    assert find_problems(calls, runs + runs[:4])[0].startswith("budget")


def test_a_call_cut_off_by_a_planned_stop_is_reported():
    cut = make_call(status=0, failure="lost", ended_at=11.0)
    stops = [records.Interval("h1", 10.5, 11.5)]
    assert find_problems([cut], [make_run()], stops=stops)[0].startswith("lost")
    disturbances = [records.Interval("h2", 8.0, 8.5)]
    assert (
        find_problems(
            [cut], [make_run()], stops=stops, disturbances=disturbances
        )
        == []
    )


@pytest.mark.parametrize(
    ("call", "ended_at", "is_reported"),
    [
        ({}, None, True),
        ({}, 12.0, True),
        ({}, 10.8, False),
        ({"status": 503}, 10.9, False),
        ({"ended_at": 11.5}, None, False),
        ({"ended_at": 15.6, "sent_at": 14.9}, None, True),
        ({"ended_at": 15.6, "timeout_s": 9.0}, None, False),
    ],
)
def test_an_answer_of_a_stopping_node_in_place_of_a_busy_target_is_reported(
    call, ended_at, is_reported
):
    fields = {"status": 504, "signature": "", "ended_at": 11.0, "answer": b""}
    stops = [records.Interval("h1", 10.5, 16.0)]
    run = make_run(status=0, ended_at=ended_at)
    problems = find_problems(
        [make_call(**{**fields, **call})], [run], stops=stops
    )
    broken = [line for line in problems if line.startswith("broken off")]
    assert bool(broken) == is_reported


def make_marker_call(number, version, status, sent_at, host="h1"):
    return make_call(
        f"c{number}",
        kind=Kind.SAFE,
        marker=version,
        status=status,
        signature="",
        sent_at=sent_at,
        ended_at=sent_at + 0.01,
        host=host,
    )


def find_version_problems(calls, publications, **fields):
    problems = find_problems(calls, [], publications=publications, **fields)
    kinds = [problem.partition(":")[0] for problem in problems]
    return [kind for kind in kinds if kind in ("config", "regress")]


def test_a_version_that_is_not_in_force_in_time_is_reported():
    publications = [records.Publication(3, 5.0)]
    missing = make_marker_call(1, 3, 404, 8.0)
    assert find_version_problems([missing], publications) == ["config"]
    early = make_marker_call(1, 3, 404, 7.0)
    assert find_version_problems([early], publications) == []
    disturbances = [records.Interval("", 4.0, 6.0)]
    assert (
        find_version_problems(
            [missing], publications, disturbances=disturbances
        )
        == []
    )


def test_a_removed_route_that_is_still_served_is_reported():
    publications = [records.Publication(3, 1.0, removed_at=5.0)]
    assert find_version_problems(
        [make_marker_call(1, 3, 200, 8.0)], publications
    ) == ["config"]


def test_a_return_to_an_older_version_is_reported():
    publications = [records.Publication(3, 9.0)]
    calls = [
        make_marker_call(1, 3, 200, 9.5),
        make_marker_call(2, 3, 404, 10.0),
    ]
    assert find_version_problems(calls, publications) == ["regress"]
    starts = {"h1": [1.0, 9.8]}
    assert find_version_problems(calls, publications, starts=starts) == []


def test_records_are_compared_by_identity():
    """Guards against treating two equal runs of one call as one run."""
    assert make_run() != attrs.evolve(make_run())


@pytest.mark.parametrize(
    ("status", "age_s", "is_reported"),
    [(-1, 1.5, False), (-1, 2.5, True), (1, 0.5, True), (0, 9.0, True)],
)
def test_a_node_that_ends_by_itself_is_reported(status, age_s, is_reported):
    """Guards against a run that goes on with a lost node unnoticed."""
    journal = records.Journal(exits=[records.Exit("h1", status, age_s)])
    found = oracle.find_problems(journal, GUARANTEES)
    assert bool(found) == is_reported
