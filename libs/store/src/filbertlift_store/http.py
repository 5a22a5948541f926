"""Client of the store's HTTP protocol, on treq.

It can't list keys, unlike `filbertlift_platform.store`, which speaks the
protocol of the users' platform.
"""

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
# A watch without a response ends this long after its wait.
WATCH_GRACE_S: Final = 2.0
MAX_CONNECTIONS: Final = 16

_NOT_FOUND = 404
_CONFLICTS = (409, 412)
_LEASE_LOST = (404, 410)
_UNCHANGED = (204, 304)
_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.DNSLookupError,
    error.ConnectingCancelledError,
)


@attrs.frozen
class _Response:
    """An HTTP response with its whole body."""

    status: int
    revision: str
    body: bytes


@attrs.frozen
class _Request:
    """An HTTP request and its timeout."""

    method: str
    path: str
    params: dict[str, str]
    body: bytes = b""
    timeout_s: float = REQUEST_TIMEOUT_S


SendRequest = Callable[[_Request], "defer.Deferred[_Response]"]


def _ignore_call(_operation: str) -> None:
    """Does nothing; used when the caller counts no calls."""


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
        on_call: called for each call with the name of the operation.
        timeout_s: timeout of every call other than a watch, in seconds.
    """
    send = _make_sender(reactor, url.rstrip("/"))
    return interface.Store(
        get=_make_get(send, on_call, timeout_s),
        compare_and_swap=_make_swap(send, on_call, timeout_s),
        delete=_make_delete(send, on_call, timeout_s),
        grant_lease=_make_grant(send, on_call, timeout_s),
        keep_lease=_make_keep(send, on_call, timeout_s),
        put_leased=_make_put_leased(send, on_call, timeout_s),
        watch=_make_watch(send, on_call),
    )


def _make_sender(reactor: Any, url: str) -> SendRequest:
    """Returns a function that sends a request and reads the response."""
    pool = client.HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = MAX_CONNECTIONS
    # A retry inside the pool would be a call that `on_call` does not count.
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
        return _Response(response.code, values[0], body)

    def send(request: _Request) -> "defer.Deferred[_Response]":
        result = exchange(request)
        result.addTimeout(request.timeout_s, reactor)
        result.addErrback(_translate_failure, request)
        return _make_cancellable(result)

    return send


def _make_cancellable(
    inner: "defer.Deferred[_Response]",
) -> "defer.Deferred[_Response]":
    """Returns a Deferred that fails with CancelledError when cancelled.

    Otherwise a cancelled request would fail like one whose answer was lost, and
    the caller would retry it.
    """
    is_cancelled = False

    def cancel(_outer: "defer.Deferred[_Response]") -> None:
        nonlocal is_cancelled
        is_cancelled = True
        inner.cancel()

    def deliver(result: Any) -> None:
        if not is_cancelled:
            outer.callback(result)

    outer: defer.Deferred[_Response] = defer.Deferred(cancel)
    inner.addBoth(deliver)
    return outer


def _read_body(response: Any) -> "defer.Deferred[bytes]":
    """Returns the body; fails when it exceeds the size limit of a value."""
    parts: list[bytes] = []
    size = 0

    def collect(data: bytes) -> None:
        nonlocal size
        size += len(data)
        if size > env.MAX_STORE_VALUE_BYTES:
            raise ValueError("the response exceeds the size limit of a value")
        parts.append(data)

    done = treq.collect(response, collect)
    return done.addCallback(lambda _none: b"".join(parts))


def _translate_failure(
    reason: failure.Failure, request: _Request
) -> failure.Failure:
    """Returns the failure as one with an error of this library."""
    text = f"{request.method} {request.path}: {reason.getErrorMessage()}"
    if reason.check(*_NOT_SENT_ERRORS):
        return failure.Failure(exceptions.StoreUnavailable(text))
    return failure.Failure(exceptions.StoreUncertain(text))


def _key_path(key: str) -> str:
    return "/v1/keys/" + parse.quote(key)


def _make_status_error(
    request: _Request, response: _Response
) -> exceptions.StoreError:
    """Returns the error for a status that leaves the effect unknown."""
    return exceptions.StoreUncertain(
        f"{request.method} {request.path}: unexpected status {response.status}"
    )


def _read_entry(
    response: _Response, request: _Request, empty: tuple[int, ...]
) -> interface.Entry | None:
    if response.status in empty:
        return None
    if response.status != 200:
        raise _make_status_error(request, response)
    return interface.Entry(response.body, _read_revision(response, request))


def _read_revision(response: _Response, request: _Request) -> int:
    text = response.revision
    if not (text.isascii() and text.isdigit() and len(text) < 20):
        raise exceptions.StoreUncertain(
            f"{request.method} {request.path}: no valid Revision header"
        )
    return int(text)


def _check_write(response: _Response, request: _Request) -> None:
    if response.status in _CONFLICTS:
        raise exceptions.StoreConflict(
            f"{request.path} has revision {response.revision or 'unknown'}"
        )
    if response.status != 200:
        raise _make_status_error(request, response)


def _make_get(
    send: SendRequest, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str], "defer.Deferred[interface.Entry | None]"]:
    def get(key: str) -> "defer.Deferred[interface.Entry | None]":
        on_call("get")
        request = _Request("GET", _key_path(key), {}, timeout_s=timeout_s)
        response = send(request)
        return response.addCallback(_read_entry, request, (_NOT_FOUND,))

    return get


def _make_swap(
    send: SendRequest, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str, int, bytes], "defer.Deferred[int]"]:
    def compare_and_swap(
        key: str, expected: int, value: bytes
    ) -> "defer.Deferred[int]":
        on_call("compare_and_swap")
        if len(value) > env.MAX_STORE_VALUE_BYTES:
            return defer.fail(
                exceptions.StoreError(f"{key}: the value is too long")
            )
        params = {"revision": str(expected)}
        request = _Request("PUT", _key_path(key), params, value, timeout_s)

        def read(response: _Response) -> int:
            _check_write(response, request)
            return _read_revision(response, request)

        return send(request).addCallback(read)

    return compare_and_swap


def _make_delete(
    send: SendRequest, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str, int], "defer.Deferred[None]"]:
    def delete(key: str, expected: int) -> "defer.Deferred[None]":
        on_call("delete")
        params = {"revision": str(expected)}
        request = _Request("DELETE", _key_path(key), params, b"", timeout_s)

        def read(response: _Response) -> None:
            if response.status not in (_NOT_FOUND, 204):
                _check_write(response, request)

        return send(request).addCallback(read)

    return delete


def _make_grant(
    send: SendRequest, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[float], "defer.Deferred[str]"]:
    def grant_lease(ttl_s: float) -> "defer.Deferred[str]":
        on_call("grant_lease")
        params = {"ttl": f"{ttl_s:g}"}
        request = _Request("POST", "/v1/leases", params, b"", timeout_s)

        def read(response: _Response) -> str:
            if response.status != 200:
                raise _make_status_error(request, response)
            return response.body.decode("ascii", "replace")

        return send(request).addCallback(read)

    return grant_lease


def _check_leased(response: _Response, request: _Request) -> None:
    if response.status in _LEASE_LOST:
        raise exceptions.LeaseLost(f"{request.path}: the lease has lapsed")
    if response.status != 200:
        raise _make_status_error(request, response)


def _make_keep(
    send: SendRequest, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str], "defer.Deferred[None]"]:
    def keep_lease(lease: str) -> "defer.Deferred[None]":
        on_call("keep_lease")
        path = "/v1/leases/" + parse.quote(lease, safe="")
        request = _Request("POST", path, {}, b"", timeout_s)
        return send(request).addCallback(_check_leased, request)

    return keep_lease


def _make_put_leased(
    send: SendRequest, on_call: Callable[[str], None], timeout_s: float
) -> Callable[[str, bytes, str], "defer.Deferred[None]"]:
    def put_leased(
        key: str, value: bytes, lease: str
    ) -> "defer.Deferred[None]":
        on_call("put_leased")
        params = {"lease": lease}
        request = _Request("PUT", _key_path(key), params, value, timeout_s)
        return send(request).addCallback(_check_leased, request)

    return put_leased


def _make_watch(
    send: SendRequest, on_call: Callable[[str], None]
) -> Callable[[str, int, float], "defer.Deferred[interface.Entry | None]"]:
    def watch(
        key: str, after: int, wait_s: float
    ) -> "defer.Deferred[interface.Entry | None]":
        on_call("watch")
        params = {"after": str(after), "wait": f"{wait_s:g}"}
        request = _Request(
            "GET", _key_path(key), params, b"", wait_s + WATCH_GRACE_S
        )
        response = send(request)
        return response.addCallback(
            _read_entry, request, (_NOT_FOUND, *_UNCHANGED)
        )

    return watch
