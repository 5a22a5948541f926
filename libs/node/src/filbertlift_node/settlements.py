"""Settlement: the outcome of a call whose link or caller was lost."""

from collections.abc import Callable
import json
import math
from typing import TYPE_CHECKING

import attrs

from filbertlift_calls import codes
from filbertlift_calls import outcomes
from filbertlift_core import exceptions
from filbertlift_core import model
from filbertlift_node import inbound
from filbertlift_transport import http
from filbertlift_transport import server
from filbertlift_wire import messages

if TYPE_CHECKING:
    from filbertlift_node import entry as entries
    from filbertlift_node import flow as flows

# Interval between inquiries while a call is running or its keeper can't be
# reached, in seconds.
ASK_INTERVAL_S = 0.1
OUTCOME_PATH = "/-/calls/"
_MAX_AGE_MS = 2**31 - 1
_MAX_NAME = 160
_MAX_FINGERPRINT = 2**64
_JSON = messages.Header("Content-Type", "application/json")


@attrs.frozen
class CallName:
    """The name of a call in answers and in requests for its outcome.

    Attributes:
        call_id: id of the call.
        address: link address of the keeper.
        incarnation: incarnation of the keeper.
        fingerprint: hash of the request, 0 without an idempotency key.
    """

    call_id: str
    address: model.Address
    incarnation: int
    fingerprint: int

    @classmethod
    def parse(cls, text: str) -> "CallName":
        """Parses a name in the format of `__str__`.

        Raises:
            ModelError: if the text is not a name.
        """
        call_id, _, place = text.partition("@")
        parts = place.split(",")
        if len(text) > _MAX_NAME or not text.isascii() or len(parts) != 3:
            raise exceptions.ModelError(
                f"{text[:80]!r} is not the name of a call"
            )
        address, incarnation, fingerprint = parts
        if not (
            call_id.isalnum()
            and incarnation.isdigit()
            and fingerprint.isdigit()
        ):
            raise exceptions.ModelError(
                f"{text[:80]!r} is not the name of a call"
            )
        return cls(
            call_id,
            model.Address.parse(address),
            int(incarnation),
            int(fingerprint),
        )

    def __str__(self) -> str:
        return (
            f"{self.call_id}@{self.address},{self.incarnation},"
            f"{self.fingerprint}"
        )


def settle(
    entry: "entries.Entry", flow: "flows.Flow", current: "flows.FlowAttempt"
) -> None:
    """Asks the keeper of a lost attempt until the outcome is settled."""
    target = current.view.target

    def ask() -> None:
        if flow.is_over:
            return
        inquiry = flow.progress.make_inquiry(entry.reactor.seconds())
        message = messages.Settle(
            stream=0,
            call_id=flow.call.call_id,
            incarnation=inquiry.incarnation,
            attempt=inquiry.attempt,
            age_ms=min(_MAX_AGE_MS, math.ceil(inquiry.age_s * 1000)),
            fingerprint=flow.call.fingerprint,
            asker=inquiry.asker,
        )
        entry.metrics.settles.inc()
        ask_keeper(entry, target.address, target.place.region, message, handle)

    def handle(settled: messages.Settled | None) -> None:
        if flow.is_over:
            return
        if settled is None or settled.running:
            # The keeper can't be reached yet, or the call is running. The
            # deadline of the call ends the repetition.
            entry.reactor.callLater(ASK_INTERVAL_S, ask)
        elif not settled.known:
            end = outcomes.AttemptEnd.KEEPER_LOST
            flow.receive_settlement(current, outcomes.Attempt(end))
        elif settled.outcome is model.Outcome.NOT_RUN:
            end = outcomes.AttemptEnd.NOT_RUN
            flow.receive_settlement(
                current, outcomes.Attempt(end, settled.code)
            )
        elif settled.outcome is model.Outcome.DONE:
            flow.receive_settled_answer(current, _make_answer(settled))
        else:
            end = outcomes.AttemptEnd.UNKNOWN
            flow.receive_settlement(
                current, outcomes.Attempt(end, codes.TARGET_LOST, 502)
            )

    ask()


def ask_keeper(
    entry: "entries.Entry",
    address: model.Address,
    region: str,
    message: messages.Settle,
    on_settled: Callable[[messages.Settled | None], None],
) -> None:
    """Sends an inquiry to a keeper, which may be the one of this node.

    Args:
        entry: the entry of this node.
        address: link address of the keeper.
        region: region of the keeper.
        message: the inquiry.
        on_settled: called with the reply, or None if the keeper can't be
            reached.
    """
    if address == entry.address:
        inquiry = inbound.make_inquiry(message)
        settlement = entry.relay.settle(inquiry)
        on_settled(inbound.make_settled(message, settlement))
        return

    def proceed() -> None:
        link = entry.links.get(address)
        if link is None:
            on_settled(None)
        else:
            entry.remote.settle(link, message, on_settled)

    entry.links.open(address, region, proceed)


def answer_outcome(
    entry: "entries.Entry", path: str, reply: server.Reply
) -> None:
    """Answers the request of a caller for the outcome of a call."""
    try:
        name = CallName.parse(path.removeprefix(OUTCOME_PATH))
    except exceptions.ModelError as error:
        _send_outcome(reply, 400, {"error": error.message})
        return

    def handle(settled: messages.Settled | None) -> None:
        if settled is None:
            _send_outcome(reply, 503, {"error": "the keeper is not reached"})
            return
        _send_outcome(
            reply,
            200,
            {
                "outcome": settled.outcome.value,
                "known": settled.known,
                "running": settled.running,
                "status": settled.status,
            },
        )

    # The age of the call is not known here, so a missing id does not prove that
    # the call did not run. The maximum age is over the retention of the keeper,
    # which therefore settles a missing id as unknown.
    message = messages.Settle(
        stream=0,
        call_id=name.call_id.encode(),
        incarnation=name.incarnation,
        attempt=1,
        age_ms=_MAX_AGE_MS,
        fingerprint=(name.fingerprint % _MAX_FINGERPRINT).to_bytes(8),
        asker="",
    )
    member = entry.sources.find_member(name.address)
    if member is None:
        _send_outcome(reply, 404, {"error": "the keeper is not a member"})
        return
    ask_keeper(entry, name.address, member.place.region, message, handle)


def _send_outcome(
    reply: server.Reply, status: int, value: dict[str, object]
) -> None:
    reply.send(status, (_JSON,), json.dumps(value).encode())


def _make_answer(settled: messages.Settled) -> messages.Answer:
    # A keeper of an earlier build may have kept any status of its target.
    is_kept = http.is_final_status(settled.status)
    code = codes.DONE if is_kept else codes.NOT_KEPT
    return messages.Answer(
        stream=0,
        outcome=settled.outcome,
        code=code,
        status=settled.status if is_kept else codes.get_status(code),
        headers=settled.headers,
        queue=0,
        version=0,
        retry_after_ms=0,
        retried=False,
        incarnation=0,
        more=False,
        body=settled.body,
    )
