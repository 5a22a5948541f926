"""Calls of a client of the store to its stand-in, without sockets."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from urllib import parse

import attrs
import msgspec

from filbertlift_platform_fakes import store as stores
from filbertlift_transport import client
from filbertlift_transport import http

# Delivers an answer when it is called; given to `StorePool.deliver`.
Delivery = Callable[[], None]


@attrs.frozen
class _Request:
    path: str
    query: dict[str, str]
    body: bytes

    def get_number(self, name: str, default: float) -> float:
        """Returns a number of the query."""
        return float(self.query.get(name, default))


@attrs.define(eq=False)
class _Exchange:
    """One call at the store, with what `StoreServer` uses of an exchange."""

    pool: "StorePool"
    request: _Request
    events: client.ClientEvents
    on_lost: Any = None
    silent: bool = False

    @property
    def connection(self) -> "_Exchange":
        """The connection, which a silent store marks."""
        return self

    def respond_json(
        self,
        value: Any,
        status: int = 200,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Answers the call."""
        found = tuple(
            http.Header(name, text) for name, text in (headers or {}).items()
        )
        body = msgspec.json.encode(value)

        def deliver() -> None:
            self.events.on_head(status, found, None)
            self.events.on_data(body)
            self.events.on_end()

        self.pool.deliver(deliver)


@attrs.define(eq=False)
class StorePool:
    """Takes the place of the pool of connections of a store's client.

    Attributes:
        server: the store.
        deliver: called with the delivery of each answer.
    """

    server: stores.StoreServer
    deliver: Callable[[Delivery], None]

    def request(
        self,
        _method: str,
        target: str,
        _headers: Any,
        body: bytes,
        events: client.ClientEvents,
    ) -> client.ClientCall:
        """Sends a call, which the store handles at once."""
        path, _, query = target.partition("?")
        found = _Request(path, dict(parse.parse_qsl(query)), body)
        exchange: Any = _Exchange(self, found, events)
        self.server.handle(exchange)
        return client.ClientCall(b"", False, events)
