"""Tests of the store stand-in."""

import random
from typing import Any

import pytest
from twisted.internet import task

from filbertlift_standins import store_state
from filbertlift_standins import web


@pytest.fixture
def parts(make_client: Any) -> Any:
    """Returns the clock, the store and a function that makes clients."""
    clock = task.Clock()
    state = store_state.Store(clock, random.Random(1))
    server = web.Server(state.handle)
    return clock, state, lambda: make_client(server)


def test_compare_and_swap_refuses_a_stale_revision(parts: Any) -> None:
    """Guards against two publishers that both believe they won."""
    client = parts[2]()
    assert client.send("PUT", "/v1/keys/a?revision=0", b"x") == b"200 "
    assert client.send("PUT", "/v1/keys/a?revision=0", b"y") == b"409 "
    assert client.send("GET", "/v1/keys/a") == b"200 x"


def test_write_without_a_response_takes_effect(parts: Any) -> None:
    """Guards against a fault that also loses the write."""
    parts[1].faults.lost_next = 1
    client = parts[2]()
    client.send("PUT", "/v1/keys/a?revision=0", b"x")
    assert client.transport.disconnected
    assert parts[2]().send("GET", "/v1/keys/a") == b"200 x"


def test_value_above_the_limit_is_refused(parts: Any) -> None:
    """Guards against a stand-in without the size limit of the store."""
    body = b"x" * 1_000_001
    sent = parts[2]().send("PUT", "/v1/keys/a?revision=0", body)
    assert sent == b"413 "


def test_watch_returns_a_change_or_304(parts: Any) -> None:
    """Guards against a watch that misses a write or never ends."""
    watcher, writer = parts[2](), parts[2]()
    assert watcher.send("GET", "/v1/keys/a?after=0&wait=5") == b" "
    writer.send("PUT", "/v1/keys/a?revision=0", b"x")
    assert watcher.read_response() == b"200 x"
    assert watcher.send("GET", "/v1/keys/a?after=1&wait=5") == b" "
    parts[0].advance(5)
    assert watcher.read_response() == b"304 "
    assert parts[1].calls["watch"] == 2


def test_silenced_watch_stays_silent_while_new_ones_work(parts: Any) -> None:
    """Guards against a fault that persists after a reconnect."""
    old, new = parts[2](), parts[2]()
    old.send("GET", "/v1/keys/a?after=0&wait=5")
    parts[1].faults.silence_watches = True
    parts[1].apply_faults()
    new.send("GET", "/v1/keys/a?after=0&wait=5")
    parts[2]().send("PUT", "/v1/keys/a?revision=0", b"x")
    assert old.read_response() == b" "
    assert new.read_response() == b"200 x"


def test_lapsed_lease_removes_its_keys(parts: Any) -> None:
    """Guards against keys that remain after their owner was paused."""
    client = parts[2]()
    lease = client.send("POST", "/v1/leases?ttl=3").split()[1].decode()
    client.send("PUT", f"/v1/keys/a?lease={lease}", b"x")
    parts[0].advance(2)
    assert client.send("POST", f"/v1/leases/{lease}").startswith(b"200")
    parts[0].advance(2)
    assert client.send("GET", "/v1/keys/a") == b"200 x"
    parts[0].advance(2)
    assert client.send("GET", "/v1/keys/a") == b"404 "


def test_faults_are_changed_all_or_none(parts: Any) -> None:
    """Guards against a misspelt fault that is silently ignored."""
    client = parts[2]()
    body = b'{"delay_s": 1, "unknown": 2}'
    assert client.send("POST", "/-/faults", body).startswith(b"400")
    assert parts[1].faults.delay_s == 0
    client.send("POST", "/-/faults", b'{"outage": "unavailable"}')
    assert client.send("GET", "/v1/keys/a") == b"503 "
