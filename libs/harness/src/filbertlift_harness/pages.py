"""JSON pages of processes, and waiting for what they show."""

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
    """Reads and posts JSON pages."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self._client = client.Client(reactor, connections=4)

    async def get(self, address: model.Address, path: str) -> Any:
        """Returns the value of a page, whatever its status.

        Raises:
            RequestError: if there was no answer within 3 s.
        """
        response = await self._client.request(
            address, "GET", path, timeout_s=3.0
        )
        return orjson.loads(response.body) if response.body else None

    async def get_status(self, address: model.Address, path: str) -> int:
        """Returns the HTTP status of a page; 0 when nothing answered."""
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
        """Returns the headers of an answer, in lower case.

        Raises:
            RequestError: if there was no answer within 3 s.
        """
        response = await self._client.request(
            address, "GET", path, timeout_s=3.0
        )
        return response.headers

    async def post(self, address: model.Address, path: str, value: Any) -> Any:
        """Posts JSON and returns the JSON answer.

        Raises:
            HarnessError: if the value was refused.
            RequestError: if there was no answer within 3 s.
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

        Raises:
            HarnessError: if it does not hold within `timeout_s`.
        """
        start = self.reactor.seconds()
        while not await check():
            if self.reactor.seconds() - start > timeout_s:
                message = f"no {what} within {timeout_s:g} s"
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
    """Runs several at a time and returns their results in order."""
    running: list[defer.Deferred[Any]] = [
        defer.Deferred.fromCoroutine(item) for item in awaitables
    ]
    try:
        return await defer.gatherResults(running, consumeErrors=True)
    except defer.FirstError as error:
        error.subFailure.raiseException()
        raise
