"""Answers to callers that this node makes itself."""

import json
import math

from filbertlift_calls import codes
from filbertlift_config import exceptions as config_exceptions
from filbertlift_core import model
from filbertlift_transport import server
from filbertlift_wire import messages

# Delay until a retry when nothing better is known, in seconds.
DEFAULT_RETRY_S = 1.0
# Statuses of refusals that may end by themselves.
_TEMPORARY = (429, 503)
# Statuses of an unknown outcome.
BAD_GATEWAY = 502
_UNKNOWN = (BAD_GATEWAY, 504)
_JSON = messages.Header("Content-Type", "application/json")


def find_code(error: config_exceptions.ConfigError) -> str:
    """Returns the code of a call that the configuration refuses."""
    if isinstance(error, config_exceptions.UnknownServiceError):
        return codes.UNKNOWN_SERVICE
    return codes.DENIED


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
        retry_after_s: when a retry makes sense, in seconds; None for the
            default. Only a refusal that may end by itself tells it.
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
    status = codes.get_status(code)
    if outcome is model.Outcome.UNKNOWN and status not in _UNKNOWN:
        # The code tells why this attempt was refused, not what became of an
        # earlier one.
        status = BAD_GATEWAY
        text = "Unknown: an earlier attempt may have run; this one was refused."
    if outcome is model.Outcome.NOT_RUN and status in _TEMPORARY:
        # The header counts whole seconds.
        seconds = max(1, math.ceil(retry_after_s or DEFAULT_RETRY_S))
        headers.append(messages.Header("Retry-After", str(seconds)))
    body = json.dumps({"code": code, "outcome": outcome.value, "error": text})
    reply.send(status, headers, body.encode())
