"""Tests of the HTTP client of the store, with responses of the test."""

from typing import Any

import pytest
import treq.client
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure
from twisted.web import http_headers

from filbertlift_core import env
from filbertlift_store import exceptions
from filbertlift_store import http
from filbertlift_store import interface


class Response:
    """A response whose body arrives in one piece."""

    def __init__(
        self, code: int, body: bytes = b"", revision: str = ""
    ) -> None:
        self.code = code
        self.body = body
        self.headers = http_headers.Headers()
        if revision:
            self.headers.addRawHeader("Revision", revision)


class Client:
    """Records requests, which the test answers."""

    def __init__(self, _agent: Any) -> None:
        self.answers: list[defer.Deferred[Any]] = []
        self.sent: list[Any] = []

    def request(self, method: str, url: str, **fields: Any) -> Any:
        self.sent.append((method, url, fields["params"]))
        self.answers.append(defer.Deferred())
        return self.answers[-1]


@pytest.fixture
def clock() -> task.Clock:
    return task.Clock()


@pytest.fixture
def client(monkeypatch: pytest.MonkeyPatch) -> Client:
    fake = Client(None)
    monkeypatch.setattr(treq.client, "HTTPClient", lambda _agent: fake)

    def collect(response: Response, collector: Any) -> Any:
        return defer.execute(collector, response.body)

    monkeypatch.setattr(treq, "collect", collect)
    return fake


@pytest.fixture
def store(client: Client, clock: task.Clock) -> interface.Store:
    return http.make_http_store(clock, "http://127.0.0.1:1/")


def collect_results(deferred: Any) -> list[Any]:
    results: list[Any] = []

    def add(result: Any) -> None:
        failed = isinstance(result, failure.Failure)
        results.append(result.value if failed else result)

    deferred.addBoth(add)
    return results


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (Response(200, b"v", "7"), interface.Entry(b"v", 7)),
        (Response(404), None),
        (Response(200, b"v"), exceptions.StoreUncertain),
        (Response(200, b"v", "x"), exceptions.StoreUncertain),
        (Response(503), exceptions.StoreUncertain),
        (
            Response(200, b"v" * (env.MAX_STORE_VALUE_BYTES + 1), "7"),
            exceptions.StoreUncertain,
        ),
    ],
)
def test_get_reads_the_entry(
    store: interface.Store, client: Client, response: Response, expected: Any
) -> None:
    """Guards against taking an invalid response for an entry."""
    results = collect_results(store.get("a/b"))
    client.answers[0].callback(response)
    assert client.sent == [("GET", "http://127.0.0.1:1/v1/keys/a/b", {})]
    if isinstance(expected, type):
        assert isinstance(results[0], expected)
    else:
        assert results == [expected]


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (409, exceptions.StoreConflict),
        (400, exceptions.StoreUncertain),
        (500, exceptions.StoreUncertain),
    ],
)
def test_failed_write_is_uncertain_unless_it_conflicts(
    store: interface.Store, client: Client, status: int, expected: type
) -> None:
    """Guards against taking an error status as proof of no effect."""
    swapped = collect_results(store.compare_and_swap("k", 3, b"v"))
    deleted = collect_results(store.delete("k", 3))
    for answer in client.answers:
        answer.callback(Response(status))
    assert [params for _, _, params in client.sent] == [{"revision": "3"}] * 2
    results = swapped + deleted
    assert [type(item) for item in results] == [expected] * 2


@pytest.mark.parametrize(
    ("cause", "expected"),
    [
        (error.ConnectionRefusedError(), exceptions.StoreUnavailable),
        (error.ConnectionLost(), exceptions.StoreUncertain),
        (error.ConnectionDone(), exceptions.StoreUncertain),
    ],
)
def test_only_a_refused_connection_is_a_certain_failure(
    store: interface.Store, client: Client, cause: Exception, expected: type
) -> None:
    """Guards against retrying a write that may have been carried out."""
    results = collect_results(store.compare_and_swap("k", 0, b"v"))
    client.answers[0].errback(cause)
    assert type(results[0]) is expected


def test_every_call_has_its_own_timeout(
    store: interface.Store, clock: task.Clock
) -> None:
    """Guards against waiting forever on a connection without a response."""
    calls = [
        collect_results(store.get("k")),
        collect_results(store.compare_and_swap("k", 0, b"v")),
        collect_results(store.delete("k", 1)),
        collect_results(store.grant_lease(10)),
        collect_results(store.keep_lease("1")),
        collect_results(store.put_leased("k", b"v", "1")),
    ]
    watch = collect_results(store.watch("k", 1, 30))
    clock.advance(http.REQUEST_TIMEOUT_S)
    assert all(isinstance(c[0], exceptions.StoreUncertain) for c in calls)
    clock.advance(30 + http.WATCH_GRACE_S - http.REQUEST_TIMEOUT_S - 0.01)
    assert not watch
    clock.advance(0.01)
    assert isinstance(watch[0], exceptions.StoreUncertain)


def test_watch_returns_nothing_when_nothing_changed(
    store: interface.Store, client: Client
) -> None:
    """Guards against failing a watch that ends without a change."""
    for status in (304, 404):
        results = collect_results(store.watch("k", 5, 1.5))
        client.answers[-1].callback(Response(status))
        assert results == [None]
    assert client.sent[0][2] == {"after": "5", "wait": "1.5"}


def test_cancelled_call_fails_with_cancelled_error(
    store: interface.Store,
) -> None:
    """Guards against a loop that continues after it was cancelled."""
    call = store.watch("k", 5, 1)
    results = collect_results(call)
    call.cancel()
    assert isinstance(results[0], defer.CancelledError)


def test_lapsed_lease_fails_with_lease_lost(
    store: interface.Store, client: Client
) -> None:
    """Guards against a retry with a lease that has lapsed."""
    kept = collect_results(store.keep_lease("1"))
    client.answers[-1].callback(Response(404))
    put = collect_results(store.put_leased("k", b"v", "1"))
    client.answers[-1].callback(Response(410))
    assert isinstance(kept[0], exceptions.LeaseLost)
    assert isinstance(put[0], exceptions.LeaseLost)
