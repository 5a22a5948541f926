"""Calls that entries at other nodes send to this keeper over links."""

from collections.abc import Callable
import time
from typing import Any

import attrs

from filbertlift_calls import codes
from filbertlift_calls import records
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import routes
from filbertlift_core import model
from filbertlift_node import attempts
from filbertlift_node import links as link_tables
from filbertlift_node import relay as relays
from filbertlift_node import replies
from filbertlift_node import runs
from filbertlift_transport import link as links
from filbertlift_wire import messages

# Maximum size of the body of a call; the entry has the same limit.
MAX_BODY_BYTES = 1_048_576


@attrs.frozen
class InboundSources:
    """Functions of the node that inbound calls use.

    Attributes:
        find_route: returns the route of a call under the version in force;
            raises ConfigError if the call is refused.
        pull_version: see `VersionExchange.pull_version`.
        version: returns the version in force.
    """

    find_route: Callable[[messages.Call], routes.Route]
    pull_version: Callable[
        [links.Link, int, float, Callable[[bool], None]], None
    ]
    version: Callable[[], int]


@attrs.define(eq=False)
class InboundCall:
    """A call that arrived on a link, and the state of its stream.

    Attributes:
        link: link on which the call arrived.
        call: the call; its body is complete once it is admitted.
        arrived_at: time of arrival, in seconds.
        parts: parts of a body that is not complete.
        size: bytes of the body received so far.
        asker: the attempt at the relay, None before admission.
        unacknowledged: bytes of the answer for which there is no credit yet.
        is_paused: whether the answer is paused until there is credit.
        is_withdrawn: whether the call must not be run any more.
    """

    link: links.Link
    call: messages.Call
    arrived_at: float
    parts: list[bytes] = attrs.field(factory=list)
    size: int = 0
    asker: runs.Asker | None = None
    unacknowledged: int = 0
    is_paused: bool = False
    is_withdrawn: bool = False


@attrs.define(eq=False)
class InboundCalls:
    """Open calls of other nodes, by link and stream.

    Unlike `filbertlift_sidecar.inbound`, it answers inquiries for the outcomes
    of calls whose link was lost.
    """

    _reactor: Any
    _links: link_tables.LinkTable
    _relay: relays.Relay
    _sources: InboundSources
    _service: str
    _calls: dict[links.Link, dict[int, InboundCall]] = attrs.field(factory=dict)

    def start(self) -> None:
        """Registers handlers for the messages that entries send."""
        self._links.handlers.update(
            {
                messages.Call: self._handle_call,
                messages.Cancel: self._handle_cancel,
                messages.Credit: self._handle_credit,
                messages.Settle: self._handle_settle,
            }
        )

    def receive_chunk(self, link: links.Link, chunk: messages.Chunk) -> None:
        """Adds a further part to the body of a call."""
        inbound = self._calls.get(link, {}).get(chunk.stream)
        if inbound is None or inbound.asker is not None:
            return
        inbound.parts.append(chunk.body)
        inbound.size += len(chunk.body)
        if inbound.size > MAX_BODY_BYTES:
            link.close("the body of a call is too large")
            return
        if chunk.last:
            body = b"".join(inbound.parts)
            inbound.parts.clear()
            inbound.call = attrs.evolve(inbound.call, more=False, body=body)
            self._admit(inbound)

    def handle_link_loss(self, link: links.Link) -> None:
        """Handles the loss of a link.

        A call that was not admitted is not run. An idempotent call without a
        key is cancelled. Any other call continues, and the entry asks for its
        outcome over a new link.
        """
        for inbound in self._calls.pop(link, {}).values():
            inbound.is_withdrawn = True
            if inbound.asker is None:
                continue
            inbound.asker.resume()
            if inbound.asker.run.route.idempotent and (
                not inbound.asker.run.is_id_held
            ):
                inbound.asker.cancel(None)

    def _handle_call(self, link: links.Link, call: messages.Call) -> None:
        self._links.touch(link)
        inbound = InboundCall(link, call, self._reactor.seconds())
        self._calls.setdefault(link, {})[call.stream] = inbound
        if call.more:
            inbound.parts.append(call.body)
            inbound.size = len(call.body)
            return
        self._admit(inbound)

    def _admit(self, inbound: InboundCall) -> None:
        call = inbound.call
        if call.version <= self._sources.version():
            self._run(inbound)
            return

        def proceed(is_in_force: bool) -> None:
            if is_in_force:
                self._run(inbound)
            else:
                self._refuse(inbound, codes.STALE_ROUTE)

        # The entry routed under a newer version, which applies to the call.
        self._sources.pull_version(
            inbound.link, call.version, call.deadline_ms / 1000, proceed
        )

    def _run(self, inbound: InboundCall) -> None:
        call = inbound.call
        if inbound.is_withdrawn:
            return
        try:
            route = self._sources.find_route(call)
        except config_exceptions.ConfigError as error:
            self._refuse(inbound, replies.find_code(error))
            return
        if route.service != self._service:
            self._refuse(inbound, codes.STALE_ROUTE)
            return
        waited_ms = int((self._reactor.seconds() - inbound.arrived_at) * 1000)
        if waited_ms:
            left_ms = call.deadline_ms - waited_ms
            call = attrs.evolve(call, deadline_ms=max(1, left_ms))
        inbound.asker = self._relay.accept(
            call, route, self._make_listener(inbound)
        )

    def _refuse(self, inbound: InboundCall, code: str) -> None:
        self._relay.refuse(self._make_listener(inbound), code)

    def _make_listener(self, inbound: InboundCall) -> attempts.Listener:
        return attempts.Listener(
            lambda answer: self._send_answer(inbound, answer),
            lambda chunk: self._send_chunk(inbound, chunk),
        )

    def _send_answer(
        self, inbound: InboundCall, answer: messages.Answer
    ) -> None:
        stream = inbound.call.stream
        if answer.more:
            inbound.unacknowledged += len(answer.body)
        else:
            self._forget(inbound)
        inbound.link.send(attrs.evolve(answer, stream=stream))

    def _send_chunk(self, inbound: InboundCall, chunk: messages.Chunk) -> None:
        stream = inbound.call.stream
        if chunk.last or chunk.failed:
            self._forget(inbound)
        size = attempts.FRAME_BYTES
        body = chunk.body
        while len(body) > size:
            part = messages.Chunk(stream, False, False, body[:size])
            inbound.link.send(part)
            body = body[size:]
        inbound.link.send(attrs.evolve(chunk, stream=stream, body=body))
        inbound.unacknowledged += len(chunk.body)
        if inbound.unacknowledged > attempts.WINDOW_BYTES and inbound.asker:
            inbound.is_paused = True
            inbound.asker.pause()

    def _forget(self, inbound: InboundCall) -> None:
        self._calls.get(inbound.link, {}).pop(inbound.call.stream, None)

    def _handle_credit(self, link: links.Link, credit: messages.Credit) -> None:
        inbound = self._calls.get(link, {}).get(credit.stream)
        if inbound is None:
            return
        inbound.unacknowledged -= credit.bytes
        if inbound.is_paused and inbound.unacknowledged <= (
            attempts.WINDOW_BYTES
        ):
            inbound.is_paused = False
            if inbound.asker is not None:
                inbound.asker.resume()

    def _handle_cancel(self, link: links.Link, cancel: messages.Cancel) -> None:
        inbound = self._calls.get(link, {}).get(cancel.stream)
        if inbound is None:
            # The call was answered before the withdrawal arrived, so it may
            # have run.
            link.send(messages.Cancelled(cancel.stream, cancel.call_id, True))
            return
        self._forget(inbound)
        # A call that waits for its body or for a version will not be run.
        inbound.is_withdrawn = True
        ran = False
        if inbound.asker is not None:
            ran = self._relay.withdraw(inbound.asker)
        link.send(messages.Cancelled(cancel.stream, cancel.call_id, ran))

    def _handle_settle(
        self, link: links.Link, message: messages.Settle
    ) -> None:
        settlement = self._relay.settle(make_inquiry(message))
        link.send(make_settled(message, settlement))


def make_inquiry(message: messages.Settle) -> records.Inquiry:
    """Returns the inquiry that a message contains."""
    return records.Inquiry(
        message.call_id.decode("ascii", "replace"),
        message.attempt,
        int.from_bytes(message.fingerprint),
        message.incarnation,
        message.age_ms / 1000,
        message.asker,
    )


def make_settled(
    message: messages.Settle, settlement: records.Settlement
) -> messages.Settled:
    """Returns the reply to an inquiry."""
    state = settlement.state
    outcome = settlement.outcome or model.Outcome.UNKNOWN
    if state is records.CallState.ABSENT:
        outcome = model.Outcome.NOT_RUN
    kept = settlement.answer
    return messages.Settled(
        stream=message.stream,
        call_id=message.call_id,
        outcome=outcome,
        known=state is not records.CallState.UNKNOWN,
        running=state in (records.CallState.QUEUED, records.CallState.RUNNING),
        code=settlement.code,
        status=kept.status if kept else 0,
        headers=kept.headers if kept else (),
        body=kept.body if kept else b"",
    )


def read_clock() -> float:
    """Returns the seconds since the epoch, for the expiry of tokens."""
    return time.time()


def make_route_finder(
    find_table: Callable[[], tuple[Any, Any]],
) -> Callable[[messages.Call], routes.Route]:
    """Returns a function that verifies the token of a call and routes it.

    Args:
        find_table: returns the verifier and the routing table in force.
    """

    def find_route(call: messages.Call) -> routes.Route:
        verifier, table = find_table()
        caller = verifier.verify(call.token, read_clock())
        path = call.path.partition("?")[0]
        return table.find(call.service, call.method, path, caller)

    return find_route
