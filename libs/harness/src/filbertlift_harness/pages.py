"""Reads and posts the JSON pages of processes, and waits for conditions."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from typing import Any

import orjson
from twisted.internet import defer
from twisted.internet import task

from filbertlift_core import model
from filbertlift_harness import exceptions
from filbertlift_standins import client


class Pages:
    """HTTP client for the JSON pages of nodes and stand-ins."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self._client = client.Client(reactor, connections=4)

    async def get(self, address: model.Address, path: str) -> Any:
        """Returns the decoded body of a page, whatever its HTTP status.

        Raises:
            RequestError: without a complete response within 3 s.
        """
        response = await self._client.request(
            address, "GET", path, timeout_s=3.0
        )
        return orjson.loads(response.body) if response.body else None

    async def get_status(self, address: model.Address, path: str) -> int:
        """Returns the HTTP status of a page; 0 without a response."""
        try:
            response = await self._client.request(
                address, "GET", path, timeout_s=2.0
            )
        except client.RequestError:
            return 0
        return response.status

    async def get_headers(
        self, address: model.Address, path: str
    ) -> Mapping[str, str]:
        """Returns the headers of a response, with names in lower case.

        Raises:
            RequestError: without a complete response within 3 s.
        """
        response = await self._client.request(
            address, "GET", path, timeout_s=3.0
        )
        return response.headers

    async def post(self, address: model.Address, path: str, value: Any) -> Any:
        """Posts a value as JSON and returns the decoded JSON response.

        Raises:
            HarnessError: if the value was refused.
            RequestError: without a complete response within 3 s.
        """
        response = await self._client.request(
            address, "POST", path, None, orjson.dumps(value), 3.0
        )
        if response.status != 200:
            text = response.body.decode(errors="replace").strip()
            raise exceptions.HarnessError(f"{address}{path}: {text}")
        return orjson.loads(response.body)

    async def wait_until(
        self,
        what: str,
        check: Callable[[], Awaitable[bool]],
        timeout_s: float,
        pause_s: float = 0.1,
    ) -> float:
        """Repeats a check until it holds; returns the seconds it took.

        Args:
            what: the condition, for the error message.
            check: returns whether the condition holds.
            timeout_s: seconds after which it gives up.
            pause_s: seconds between two checks.

        Raises:
            HarnessError: if it does not hold within `timeout_s`.
        """
        start = self.reactor.seconds()
        while not await check():
            if self.reactor.seconds() - start > timeout_s:
                message = f"still waiting for {what} after {timeout_s:g} s"
                raise exceptions.HarnessError(message)
            await self.sleep(pause_s)
        return self.reactor.seconds() - start

    def sleep(self, seconds: float) -> "defer.Deferred[None]":
        """Returns a Deferred that fires after some seconds."""
        return task.deferLater(self.reactor, seconds, lambda: None)

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()


async def gather(awaitables: list[Coroutine[Any, Any, Any]]) -> list[Any]:
    """Runs coroutines concurrently and returns their results in order.

    If one fails, its exception is raised.
    """
    running: list[defer.Deferred[Any]] = [
        defer.Deferred.fromCoroutine(item) for item in awaitables
    ]
    try:
        return await defer.gatherResults(running, consumeErrors=True)
    except defer.FirstError as error:
        error.subFailure.raiseException()
        raise
