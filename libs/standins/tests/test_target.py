"""Tests of the target stand-in."""

from typing import Any

import pytest
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from filbertlift_standins import content
from filbertlift_standins import target
from filbertlift_standins import web
from filbertlift_standins import work


@pytest.fixture
def parts(make_client: Any) -> Any:
    """Returns the clock, the target and a function that makes clients."""
    clock = task.Clock()
    times = [work.WorkTime.parse("GET /slow=500")]
    state = target.Target(clock, "t1", 1, 2, times, target.Faults())
    server = web.Server(state.handle)
    return clock, state, lambda: make_client(server)


def test_work_beyond_the_slots_is_shed(parts: Any) -> None:
    """Guards against a target whose capacity has no bound."""
    first, second = parts[2](), parts[2]()
    assert first.send("GET", "/slow") == b" "
    assert second.send("GET", "/slow") == b"503 "
    parts[0].advance(0.5)
    assert first.read_response() == b"200 " + content.make_body(
        "t1", "none", b""
    )
    assert second.send("GET", "/slow") == b" "


def test_connection_beyond_the_limit_is_shed(parts: Any) -> None:
    """Guards against a target that accepts any number of connections."""
    clients = [parts[2]() for _ in range(3)]
    assert clients[2].send("GET", "/x") == b"503 "
    assert clients[2].transport.disconnecting


def test_run_is_counted_for_each_request_id(parts: Any) -> None:
    """Guards against records that hide a request that ran twice."""
    client = parts[2]()
    for _ in range(2):
        client.send("POST", "/book", b"b", "Request-Id: r1")
        parts[0].advance(0)
    assert parts[1].runs["r1"].started == 2
    assert parts[1].runs["r1"].finished == 2


def test_closed_connection_cancels_the_work(parts: Any) -> None:
    """Guards against a slot that stays occupied after a disconnect."""
    client = parts[2]()
    client.send("GET", "/slow", headers="Request-Id: r1")
    client.connection.connectionLost(failure.Failure(error.ConnectionLost()))
    parts[0].advance(1)
    assert parts[1].running == 0
    assert parts[1].runs["r1"].cancelled == 1
    assert parts[1].runs["r1"].finished == 0


def test_download_waits_for_the_transport(parts: Any) -> None:
    """Guards against a download held in memory for a slow reader."""
    client = parts[2]()
    length = content.BLOCK_BYTES + 10
    client.send("GET", f"/d?bytes={length}", headers="Request-Id: r1")
    parts[0].advance(0)
    parts[0].advance(0)
    assert client.read_response() == b" "
    received = b""
    for _ in range(2):
        producer = client.transport.producer
        producer.resumeProducing()
        parts[0].advance(0)
        received += client.transport.value()
        client.transport.clear()
    assert received == b"".join(content.iterate_blocks("r1", length))
    assert parts[1].runs["r1"].finished == 1


def test_drain_is_visible_on_the_health_page_only(parts: Any) -> None:
    """Guards against a draining target that refuses requests."""
    parts[1].faults.draining = True
    client = parts[2]()
    client.send("GET", "/-/health")
    parts[0].advance(0)
    assert client.read_response() == b"503 draining\n"
    client.send("GET", "/x")
    parts[0].advance(0)
    assert client.read_response().startswith(b"200")


def test_load_report_lags(parts: Any) -> None:
    """Guards against a lag setting that has no effect on the load."""
    parts[1].faults.load_lag_s = 2.0
    parts[2]().send("GET", "/slow", headers="Work-Ms: 9000")
    assert parts[1].report_load()["running"] == 0
    parts[0].advance(2)
    assert parts[1].report_load()["running"] == 1


def test_work_ends_at_its_deadline(parts: Any) -> None:
    """Guards against a slot that stays occupied after the deadline."""
    client = parts[2]()
    client.send("GET", "/slow", headers="Filbertlift-Deadline-Ms: 100")
    parts[0].advance(0.1)
    assert client.read_response() == b"504 "
