"""Tests of the store stand-in."""

import random
from typing import Any

from filbertlift_standins import store
from filbertlift_standins import web
import pytest
from twisted.internet import task
from twisted.internet import testing


class Client:
    """Sends requests to a store on one connection over a fake transport."""

    def __init__(self, server: web.Server) -> None:
        self.connection = server.buildProtocol(None)
        self.transport = testing.StringTransport()
        self.transport.setTcpNoDelay = lambda _on: None  # type: ignore
        self.connection.makeConnection(self.transport)

    def send(self, method: str, target: str, body: bytes = b"") -> bytes:
        head = f"{method} {target} HTTP/1.1\r\nContent-Length: {len(body)}"
        self.connection.dataReceived(head.encode() + b"\r\n\r\n" + body)
        return self.take()

    def take(self) -> bytes:
        """Returns the status and body received since the last call."""
        data = self.transport.value()
        self.transport.clear()
        return data[9:12] + b" " + data.partition(b"\r\n\r\n")[2]


@pytest.fixture
def parts() -> Any:
    clock = task.Clock()
    state = store.Store(clock, random.Random(1))
    return clock, state, web.Server(state.handle)


def test_compare_and_swap_refuses_a_stale_revision(parts: Any) -> None:
    """Guards against two publishers that both believe they won."""
    client = Client(parts[2])
    assert client.send("PUT", "/v1/keys/a?revision=0", b"x") == b"200 "
    assert client.send("PUT", "/v1/keys/a?revision=0", b"y") == b"409 "
    assert client.send("GET", "/v1/keys/a") == b"200 x"


def test_lost_answer_leaves_the_write_in_effect(parts: Any) -> None:
    """Guards against a fault that also loses the write."""
    parts[1].faults.lost_next = 1
    client = Client(parts[2])
    client.send("PUT", "/v1/keys/a?revision=0", b"x")
    assert client.transport.disconnected
    assert Client(parts[2]).send("GET", "/v1/keys/a") == b"200 x"


def test_value_above_the_limit_is_refused(parts: Any) -> None:
    body = b"x" * 1_000_001
    sent = Client(parts[2]).send("PUT", "/v1/keys/a?revision=0", body)
    assert sent == b"413 "


def test_watch_answers_a_change_or_304(parts: Any) -> None:
    """Guards against a watch that misses a write or waits for ever."""
    watcher, writer = Client(parts[2]), Client(parts[2])
    assert watcher.send("GET", "/v1/keys/a?after=0&wait=5") == b" "
    writer.send("PUT", "/v1/keys/a?revision=0", b"x")
    assert watcher.take() == b"200 x"
    assert watcher.send("GET", "/v1/keys/a?after=1&wait=5") == b" "
    parts[0].advance(5)
    assert watcher.take() == b"304 "
    assert parts[1].calls["watch"] == 2


def test_silenced_watch_stays_silent_while_new_ones_work(parts: Any) -> None:
    """Guards against a fault that a reconnect would not get past."""
    old, new = Client(parts[2]), Client(parts[2])
    old.send("GET", "/v1/keys/a?after=0&wait=5")
    parts[1].faults.silence_watches = True
    parts[1].apply_faults()
    new.send("GET", "/v1/keys/a?after=0&wait=5")
    Client(parts[2]).send("PUT", "/v1/keys/a?revision=0", b"x")
    assert old.take() == b" "
    assert new.take() == b"200 x"


def test_lapsed_lease_removes_its_keys(parts: Any) -> None:
    """Guards against keys that outlive a holder that was paused."""
    client = Client(parts[2])
    lease = client.send("POST", "/v1/leases?ttl=3").split()[1].decode()
    client.send("PUT", f"/v1/keys/a?lease={lease}", b"x")
    parts[0].advance(2)
    assert client.send("POST", f"/v1/leases/{lease}").startswith(b"200")
    parts[0].advance(2)
    assert client.send("GET", "/v1/keys/a") == b"200 x"
    parts[0].advance(2)
    assert client.send("GET", "/v1/keys/a") == b"404 "


def test_faults_are_changed_all_or_none(parts: Any) -> None:
    """Guards against a misspelt fault that silently does nothing."""
    client = Client(parts[2])
    body = b'{"delay_s": 1, "unknown": 2}'
    assert client.send("POST", "/-/faults", body).startswith(b"400")
    assert parts[1].faults.delay_s == 0
    client.send("POST", "/-/faults", b'{"outage": "unavailable"}')
    assert client.send("GET", "/v1/keys/a") == b"503 "
