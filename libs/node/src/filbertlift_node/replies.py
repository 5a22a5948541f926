"""Answers to callers that come from the node instead of the target."""

import json
import math

from filbertlift_calls import codes
from filbertlift_config import exceptions as config_exceptions
from filbertlift_core import model
from filbertlift_transport import server
from filbertlift_wire import messages

# Value of Retry-After if no better estimate is available, in seconds.
DEFAULT_RETRY_S = 1.0
# Statuses of temporary refusals.
_TEMPORARY = (429, 503)
# Statuses of answers with an unknown outcome.
BAD_GATEWAY = 502
_UNKNOWN = (BAD_GATEWAY, 504)
_JSON = messages.Header("Content-Type", "application/json")


def find_code(error: config_exceptions.ConfigError) -> str:
    """Returns the code for a call that the configuration refuses."""
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
    """Answers a call that has no answer from the target.

    Args:
        reply: the reply to the caller.
        outcome: whether the call ran.
        code: a code from `codes.CODES`.
        retry_after_s: time after which the caller may retry, in seconds; None
            or 0 for the default. It is sent only with a temporary refusal.
        extra: further headers.
        message: error text, empty for the text of the code.
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
        # The code and its status describe the refusal of this attempt, not the
        # outcome of an earlier one.
        status = BAD_GATEWAY
        text = "Unknown: an earlier attempt may have run; this one was refused."
    if outcome is model.Outcome.NOT_RUN and status in _TEMPORARY:
        # The header is in whole seconds.
        seconds = max(1, math.ceil(retry_after_s or DEFAULT_RETRY_S))
        headers.append(messages.Header("Retry-After", str(seconds)))
    body = json.dumps({"code": code, "outcome": outcome.value, "error": text})
    reply.send(status, headers, body.encode())
