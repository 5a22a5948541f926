"""Adapter of the store's HTTP protocol, on treq."""

from collections.abc import Callable
from typing import Any
from typing import Final
from urllib import parse

import attrs
import treq.client
from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure
from twisted.web import client

from filbertlift_core import env
from filbertlift_store import exceptions
from filbertlift_store import interface

REQUEST_TIMEOUT_S: Final = 5.0
CONNECT_TIMEOUT_S: Final = 2.0
# A watch whose connection went silent ends this much after its wait.
WATCH_GRACE_S: Final = 2.0
MAX_CONNECTIONS: Final = 16

_MISSING = 404
_CONFLICTS = (409, 412)
_LEASE_LOST = (404, 410)
_UNCHANGED = (204, 304)
_NEVER_SENT = (
    error.ConnectError,
    error.DNSLookupError,
    error.ConnectingCancelledError,
)


@attrs.frozen
class _Answer:
    """An HTTP response, read to its end."""

    status: int
    revision: str
    body: bytes


@attrs.frozen
class _Request:
    """An HTTP request and the seconds within which it must end."""

    method: str
    path: str
    params: dict[str, str]
    body: bytes = b""
    timeout_s: float = REQUEST_TIMEOUT_S


Ask = Callable[[_Request], "defer.Deferred[_Answer]"]


def _ignore_call(_operation: str) -> None:
    """Counts nothing."""


def make_http_store(
    reactor: Any,
    url: str,
    on_call: Callable[[str], None] = _ignore_call,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> interface.Store:
    """Returns access to the store at a URL.

    Args:
        reactor: the reactor, for connections and timeouts.
        url: such as `http://127.0.0.1:7000`.
        on_call: called with the name of the operation for each call.
        timeout_s: seconds until a call other than a watch ends.
    """
    ask = _make_ask(reactor, url.rstrip("/"))
    return interface.Store(
        get=_make_get(ask, on_call, timeout_s),
        compare_and_swap=_make_swap(ask, on_call, timeout_s),
        delete=_make_delete(ask, on_call, timeout_s),
        grant_lease=_make_grant(ask, on_call, timeout_s),
        keep_lease=_make_keep(ask, on_call, timeout_s),
        put_leased=_make_put_leased(ask, on_call, timeout_s),
        watch=_make_watch(ask, on_call),
    )


def _make_ask(reactor: Any, url: str) -> Ask:
    """Returns the function that sends one request and reads the answer."""
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = MAX_CONNECTIONS
    # A retry inside the pool would be a call that nobody counts.
    pool.retryAutomatically = False
    agent: Any = client.Agent(
        reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S
    )
    http = treq.client.HTTPClient(agent)

    @defer.inlineCallbacks
    def exchange(request: _Request) -> Any:
        response = yield http.request(
            request.method,
            url + request.path,
            params=request.params,
            data=request.body,
            unbuffered=True,
        )
        body = yield _read_body(response)
        values = response.headers.getRawHeaders("Revision") or [""]
        return _Answer(response.code, values[0], body)

    def ask(request: _Request) -> "defer.Deferred[_Answer]":
        answer = exchange(request)
        answer.addTimeout(request.timeout_s, reactor)
        answer.addErrback(_translate, request)
        return _make_cancellable(answer)

    return ask


def _make_cancellable(
    answer: "defer.Deferred[_Answer]",
) -> "defer.Deferred[_Answer]":
    """Returns a Deferred that fails with CancelledError when cancelled.

    The failure of a cancelled request would look like a lost answer, after
    which a caller tries again.
    """
    abandoned = False

    def cancel(_outer: "defer.Deferred[_Answer]") -> None:
        nonlocal abandoned
        abandoned = True
        answer.cancel()

    def pass_on(result: Any) -> None:
        if not abandoned:
            outer.callback(result)

    outer: defer.Deferred[_Answer] = defer.Deferred(cancel)
    answer.addBoth(pass_on)
    return outer


def _read_body(response: Any) -> "defer.Deferred[bytes]":
    """Returns the body; fails when it is longer than a value may be."""
    parts: list[bytes] = []
    size = 0

    def collect(data: bytes) -> None:
        nonlocal size
        size += len(data)
        if size > env.MAX_STORE_VALUE_BYTES:
            raise ValueError("the answer is longer than a value may be")
        parts.append(data)

    done = treq.collect(response, collect)
    return done.addCallback(lambda _none: b"".join(parts))


def _translate(reason: failure.Failure, request: _Request) -> failure.Failure:
    """Returns the failure as an error of this library."""
    text = f"{request.method} {request.path}: {reason.getErrorMessage()}"
    if reason.check(*_NEVER_SENT):
        return failure.Failure(exceptions.StoreUnavailable(text))
    return failure.Failure(exceptions.StoreUncertain(text))


def _key_path(key: str) -> str:
    return "/v1/keys/" + parse.quote(key)


def _refuse(request: _Request, answer: _Answer) -> exceptions.StoreError:
    """Returns the error for a status that says nothing certain."""
    return exceptions.StoreUncertain(
        f"{request.method} {request.path}: status {answer.status}"
    )


def _read_entry(
    answer: _Answer, request: _Request, empty: tuple[int, ...]
) -> interface.Entry | None:
    if answer.status in empty:
        return None
    if answer.status != 200:
        raise _refuse(request, answer)
    return interface.Entry(answer.body, _read_revision(answer, request))


def _read_revision(answer: _Answer, request: _Request) -> int:
    text = answer.revision
    if not (text.isascii() and text.isdigit() and len(text) < 20):
        raise exceptions.StoreUncertain(
            f"{request.method} {request.path}: no valid revision"
        )
    return int(text)


def _check_write(answer: _Answer, request: _Request) -> None:
    if answer.status in _CONFLICTS:
        raise exceptions.StoreConflict(
            f"{request.path} has revision {answer.revision or 'unknown'}"
        )
    if answer.status != 200:
        raise _refuse(request, answer)


def _make_get(
    ask: Ask, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str], "defer.Deferred[interface.Entry | None]"]:
    def get(key: str) -> "defer.Deferred[interface.Entry | None]":
        on_call("get")
        request = _Request("GET", _key_path(key), {}, timeout_s=timeout_s)
        answer = ask(request)
        return answer.addCallback(_read_entry, request, (_MISSING,))

    return get


def _make_swap(
    ask: Ask, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str, int, bytes], "defer.Deferred[int]"]:
    def compare_and_swap(
        key: str, expected: int, value: bytes
    ) -> "defer.Deferred[int]":
        on_call("compare_and_swap")
        if len(value) > env.MAX_STORE_VALUE_BYTES:
            return defer.fail(exceptions.StoreError(f"{key}: value too long"))
        params = {"revision": str(expected)}
        request = _Request("PUT", _key_path(key), params, value, timeout_s)

        def read(answer: _Answer) -> int:
            _check_write(answer, request)
            return _read_revision(answer, request)

        return ask(request).addCallback(read)

    return compare_and_swap


def _make_delete(
    ask: Ask, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str, int], "defer.Deferred[None]"]:
    def delete(key: str, expected: int) -> "defer.Deferred[None]":
        on_call("delete")
        params = {"revision": str(expected)}
        request = _Request("DELETE", _key_path(key), params, b"", timeout_s)

        def read(answer: _Answer) -> None:
            if answer.status not in (_MISSING, 204):
                _check_write(answer, request)

        return ask(request).addCallback(read)

    return delete


def _make_grant(
    ask: Ask, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[float], "defer.Deferred[str]"]:
    def grant_lease(ttl_s: float) -> "defer.Deferred[str]":
        on_call("grant_lease")
        params = {"ttl": f"{ttl_s:g}"}
        request = _Request("POST", "/v1/leases", params, b"", timeout_s)

        def read(answer: _Answer) -> str:
            if answer.status != 200:
                raise _refuse(request, answer)
            return answer.body.decode("ascii", "replace")

        return ask(request).addCallback(read)

    return grant_lease


def _check_leased(answer: _Answer, request: _Request) -> None:
    if answer.status in _LEASE_LOST:
        raise exceptions.LeaseLost(f"{request.path}: the lease has lapsed")
    if answer.status != 200:
        raise _refuse(request, answer)


def _make_keep(
    ask: Ask, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str], "defer.Deferred[None]"]:
    def keep_lease(lease: str) -> "defer.Deferred[None]":
        on_call("keep_lease")
        path = "/v1/leases/" + parse.quote(lease, safe="")
        request = _Request("POST", path, {}, b"", timeout_s)
        return ask(request).addCallback(_check_leased, request)

    return keep_lease


def _make_put_leased(
    ask: Ask, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str, bytes, str], "defer.Deferred[None]"]:
    def put_leased(
        key: str, value: bytes, lease: str
    ) -> "defer.Deferred[None]":
        on_call("put_leased")
        params = {"lease": lease}
        request = _Request("PUT", _key_path(key), params, value, timeout_s)
        return ask(request).addCallback(_check_leased, request)

    return put_leased


def _make_watch(
    ask: Ask, on_call: Callable[[str], None]
) -> Callable[[str, int, float], "defer.Deferred[interface.Entry | None]"]:
    def watch(
        key: str, after: int, wait_s: float
    ) -> "defer.Deferred[interface.Entry | None]":
        on_call("watch")
        params = {"after": str(after), "wait": f"{wait_s:g}"}
        request = _Request(
            "GET", _key_path(key), params, b"", wait_s + WATCH_GRACE_S
        )
        answer = ask(request)
        return answer.addCallback(_read_entry, request, (_MISSING, *_UNCHANGED))

    return watch
