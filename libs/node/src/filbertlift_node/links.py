"""The links of a node to its peers.

A link carries the calls of both of its ends, while on the links of
`filbertlift_sidecar.peerlink` only the end that dialled sends calls.
"""

from collections.abc import Callable
from typing import Any

import attrs

from filbertlift_core import model
from filbertlift_transport import exceptions as transport_exceptions
from filbertlift_transport import link as links
from filbertlift_wire import messages

# A link that carried no call for this time is closed, in seconds.
IDLE_LIMIT_S = 30.0
# Delay after a failed connection, in seconds. It limits the attempts to connect
# to a dead peer to one per second instead of one per call.
RETRY_DELAY_S = 1.0

Handler = Callable[[links.Link, Any], None]


@attrs.frozen
class LinkTableEvents:
    """Callbacks of a link table.

    Attributes:
        on_up: called when the first link to a peer is up.
        on_down: called when the last link to a peer is lost.
        on_lost: called for every link that is lost, before `on_down`.
    """

    on_up: Callable[[model.Member], None]
    on_down: Callable[[model.Member], None]
    on_lost: Callable[[links.Link], None]


@attrs.define
class LinkTable:
    """Links by address of the peer.

    Two nodes may open a link to each other at the same time. Both links stay
    open until they are idle, and the newer one is used for sending.

    Attributes:
        handlers: handler of each type of message.
    """

    _reactor: Any
    _identity: links.LinkIdentity
    _find_proxy: Callable[[str], model.Address | None]
    _events: LinkTableEvents
    handlers: dict[type, Handler] = attrs.field(factory=dict)
    _links: dict[model.Address, list[links.Link]] = attrs.field(factory=dict)
    _opening: set[model.Address] = attrs.field(factory=set)
    _failed_at: dict[model.Address, float] = attrs.field(factory=dict)
    _used_at: dict[links.Link, float] = attrs.field(factory=dict)
    _waiting: dict[model.Address, list[Callable[[], None]]] = attrs.field(
        factory=dict
    )
    _closed: links.LinkCounters = attrs.field(factory=links.LinkCounters)
    _listener: links.LinkListener | None = None
    _is_closed: bool = False

    def start(self, address: model.Address) -> None:
        """Accepts links at an address; raises CannotListenError."""
        self._listener = links.listen_links(
            self._reactor, address, self._identity, self._make_events(None)
        )

    def close(self) -> None:
        """Closes the listener and every link."""
        self._is_closed = True
        if self._listener is not None:
            self._listener.close()
        for link in list(self._used_at):
            link.close("node stops")

    def get(self, address: model.Address) -> links.Link | None:
        """Returns the link for sending to a peer, None if there is none."""
        found = self._links.get(address)
        return found[-1] if found else None

    def send(self, address: model.Address, message: messages.Message) -> bool:
        """Sends a message to a linked peer; returns False if that failed."""
        link = self.get(address)
        return link is not None and link.send(message)

    def touch(self, link: links.Link) -> None:
        """Records that a link is used for a call now."""
        self._used_at[link] = self._reactor.seconds()

    def open(
        self,
        address: model.Address,
        region: str,
        on_done: Callable[[], None] | None = None,
    ) -> None:
        """Opens a link unless there is one; a failure is not retried.

        Args:
            address: link address of the peer.
            region: region of the peer, empty if unknown.
            on_done: called once, when the link is up or has failed.
        """
        if self.get(address) is not None or self._is_closed:
            if on_done is not None:
                on_done()
            return
        if on_done is not None:
            self._waiting.setdefault(address, []).append(on_done)
        if address in self._opening:
            return
        failed_at = self._failed_at.get(address, float("-inf"))
        if self._reactor.seconds() - failed_at < RETRY_DELAY_S:
            self._finish_opening(address)
            return
        self._opening.add(address)
        links.open_link(
            self._reactor,
            address,
            self._identity,
            self._make_events(address),
            self._find_proxy(region),
        )

    def close_idle(self, kept: frozenset[model.Address]) -> None:
        """Closes the idle links to peers that are not in `kept`.

        Only the side that opened a link closes it, because the other side does
        not know whether the link should be kept.
        """
        limit = self._reactor.seconds() - IDLE_LIMIT_S
        for link, used_at in list(self._used_at.items()):
            if used_at >= limit or not link.is_opener:
                continue
            if link.peer.address not in kept:
                link.close("idle")

    def list_links(self) -> list[links.Link]:
        """Returns all links that are up."""
        return list(self._used_at)

    def count_bytes(self) -> links.LinkCounters:
        """Returns the bytes of all links, including closed ones."""
        total = attrs.evolve(self._closed)
        for link in self._used_at:
            _add_counters(total, link.counters)
        return total

    def _make_events(self, opened: model.Address | None) -> links.LinkEvents:
        def handle_up(link: links.Link) -> None:
            self._add(link, opened)

        def handle_down(
            link: links.Link, _error: transport_exceptions.LinkError
        ) -> None:
            if link in self._used_at:
                self._remove(link)
            elif opened is not None:
                self._failed_at[opened] = self._reactor.seconds()
                self._finish_opening(opened)

        return links.LinkEvents(handle_up, self._dispatch, handle_down)

    def _dispatch(self, link: links.Link, message: messages.Message) -> None:
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def _add(self, link: links.Link, opened: model.Address | None) -> None:
        address = link.peer.address
        self.touch(link)
        found = self._links.setdefault(address, [])
        found.append(link)
        self._failed_at.pop(address, None)
        if len(found) == 1:
            self._events.on_up(link.peer)
        for opened_address in {address, opened or address}:
            self._finish_opening(opened_address)

    def _remove(self, link: links.Link) -> None:
        del self._used_at[link]
        _add_counters(self._closed, link.counters)
        address = link.peer.address
        remaining = self._links[address]
        remaining.remove(link)
        if not remaining:
            del self._links[address]
        self._events.on_lost(link)
        if not remaining:
            self._events.on_down(link.peer)

    def _finish_opening(self, address: model.Address) -> None:
        self._opening.discard(address)
        for on_done in self._waiting.pop(address, []):
            on_done()


def _add_counters(total: links.LinkCounters, added: links.LinkCounters) -> None:
    total.sent_control += added.sent_control
    total.sent_calls += added.sent_calls
    total.received_control += added.received_control
    total.received_calls += added.received_calls
