"""Answers to callers that this node makes itself."""

import json
import math

from filbertlift_calls import codes
from filbertlift_core import model
from filbertlift_transport import server
from filbertlift_wire import messages

_JSON = messages.Header("Content-Type", "application/json")


def send_error(
    reply: server.Reply,
    outcome: model.Outcome,
    code: str,
    retry_after_s: float | None,
    extra: tuple[messages.Header, ...] = (),
    message: str = "",
) -> None:
    """Answers a call that did not end with the target's own answer.

    Args:
        reply: where the answer goes.
        outcome: whether the call ran.
        code: code from the table of calls.
        retry_after_s: when a retry makes sense, in seconds.
        extra: further headers.
        message: what happened, else the text of the code.
    """
    entry = codes.CODES.get(code)
    text = message or (entry.text if entry else code)
    headers = [
        _JSON,
        messages.Header("Filbertlift-Outcome", outcome.value),
        messages.Header("Filbertlift-Code", code),
        *extra,
    ]
    if outcome is model.Outcome.NOT_RUN and retry_after_s is not None:
        # The header counts whole seconds.
        seconds = max(1, math.ceil(retry_after_s))
        headers.append(messages.Header("Retry-After", str(seconds)))
    body = json.dumps({"code": code, "outcome": outcome.value, "error": text})
    reply.send(codes.get_status(code), headers, body.encode())
