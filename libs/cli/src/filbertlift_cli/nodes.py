"""Pages of nodes: asked for JSON, a bounded number at a time."""

from collections.abc import Callable
import json
from typing import Any
from typing import Final

import treq.client
from twisted.internet import defer
from twisted.web import client

from filbertlift_core import exceptions
from filbertlift_core import model

CONCURRENT_ASKS: Final = 64
ASK_TIMEOUT_S: Final = 2.0
# A dump lists every member: 12,000 at some 250 bytes are 3 MB.
DUMP_TIMEOUT_S: Final = 10.0
MAX_PAGE_BYTES: Final = 16_000_000

Ask = Callable[[model.Address, str, float], "defer.Deferred[Any]"]


class NodeError(exceptions.FilbertliftError):
    """A node did not answer, or not with a JSON object."""

    code = "FL-NODE"


def make_ask(reactor: Any) -> Ask:
    """Returns a function that reads a JSON object from a node's page.

    It takes the address, the path and a timeout in seconds; its Deferred
    fails with NodeError.
    """
    agent: Any = client.Agent(reactor, connectTimeout=ASK_TIMEOUT_S)
    http = treq.client.HTTPClient(agent)

    @defer.inlineCallbacks
    def fetch(address: model.Address, path: str) -> Any:
        response = yield http.get(f"http://{address}{path}", unbuffered=True)
        parts: list[bytes] = []
        size = 0

        def collect(data: bytes) -> None:
            nonlocal size
            size += len(data)
            if size > MAX_PAGE_BYTES:
                raise ValueError("the page is too long")
            parts.append(data)

        yield treq.collect(response, collect)
        value = json.loads(b"".join(parts))
        if not isinstance(value, dict):
            raise ValueError("not a JSON object")
        return value

    def ask(
        address: model.Address, path: str, timeout_s: float
    ) -> "defer.Deferred[Any]":
        answer = fetch(address, path).addTimeout(timeout_s, reactor)

        def translate(reason: Any) -> Any:
            raise NodeError(f"{address}{path}: {reason.getErrorMessage()}")

        return answer.addErrback(translate)

    return ask


@defer.inlineCallbacks
def ask_all(ask: Ask, addresses: list[model.Address], path: str) -> Any:
    """Returns the answer, or None, of each address."""
    limit = defer.DeferredSemaphore(CONCURRENT_ASKS)
    waits = [
        limit.run(ask, address, path, ASK_TIMEOUT_S) for address in addresses
    ]
    results = yield defer.DeferredList(waits, consumeErrors=True)
    return {
        address: answer if good else None
        for address, (good, answer) in zip(addresses, results, strict=True)
    }
