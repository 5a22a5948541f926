"""Endpoint for the heartbeats and departure notices of the target.

It exchanges nothing with other nodes, unlike the control plane in
`filbertlift_node.control`.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs

from filbertlift_core import exceptions as core_exceptions
from filbertlift_mesh import announcements
from filbertlift_mesh import directory
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import metrics as node_metrics
from filbertlift_sidecar import rejections
from filbertlift_transport import http
from filbertlift_transport import reply as replies

# Time limit for keeping a departure outside this process, in seconds. A target
# waits 1 s for the answer, and asks again after a refusal.
KEEP_TIMEOUT_S: Final = 0.8

TargetMessage = announcements.Heartbeat | announcements.Departure


@attrs.frozen
class ControlEvents:
    """Callbacks of the control endpoint.

    Attributes:
        on_change: called when the record of the target has changed.
        keep: keeps the departures where a node that starts on this host later
            finds them; returns a Deferred.
    """

    on_change: Callable[[], None]
    keep: Callable[[], Any]


@attrs.define(eq=False)
class Control:
    """Handles the heartbeats and departure notices of the target.

    Attributes:
        parse: parses a request of the target; raises FilbertliftError if it is
            malformed, and returns None for any other request.
        target: state of the target.
        noted: notes the reports that were rejected.
        get_unix_ms: returns the time of day, in Unix milliseconds.
    """

    reactor: Any
    parse: Callable[[http.Request], TargetMessage | None]
    target: announcements.LocalTarget
    events: ControlEvents
    log: eventlog.EventLog
    metrics: node_metrics.NodeMetrics
    noted: rejections.Rejections
    get_unix_ms: Callable[[], int]

    def handle(self, request: http.Request, reply: replies.Reply) -> None:
        """Answers one request of the target."""
        try:
            message = self.parse(request)
        except core_exceptions.FilbertliftError as error:
            self.metrics.beats.labels("malformed").inc()
            self.noted.note("control.malformed", request.path, error)
            self._send(reply, 400)
            return
        if message is None:
            self._send(reply, 404)
            return
        if isinstance(message, announcements.Heartbeat):
            result = self.target.note_beat(message, self.reactor.seconds())
        else:
            result = self.target.note_departure(message, self.get_unix_ms())
        self.metrics.beats.labels(result).inc()
        if result != "known":
            self._log_result(message, result)
        if result == "news":
            self.events.on_change()
        if result == announcements.OTHER_ADDRESS:
            self._send(reply, 409)
        elif _reports_end(message):
            self._acknowledge_once_kept(reply)
        elif result == announcements.WAITING:
            # A target repeats a refused report soon, and a late one has nobody
            # to repeat it.
            self._send(reply, 503)
        else:
            self._send(reply, 200)

    def _acknowledge_once_kept(self, reply: replies.Reply) -> None:
        kept = self.events.keep()
        kept.addTimeout(KEEP_TIMEOUT_S, self.reactor)
        kept.addCallbacks(
            lambda _result: self._send(reply, 200),
            lambda reason: self._refuse_unkept(reply, reason),
        )

    def _refuse_unkept(self, reply: replies.Reply, reason: Any) -> None:
        # This node keeps to the departure, but a node that starts on this host
        # would not know of it.
        self.log.log("control.departure-unkept", error=reason.getErrorMessage())
        self._send(reply, 503)

    def _log_result(self, message: TargetMessage, result: str) -> None:
        if isinstance(message, announcements.Heartbeat):
            target = message.target
            self.log.log_request(
                "control.beat",
                result=result,
                target=target.target_id,
                born_ms=target.born_ms,
                service=target.service,
                state=target.state.name.lower(),
                sequence=message.sequence,
                slots=target.slots,
                address=message.address,
            )
            return
        self.log.log(
            "control.departure",
            result=result,
            target=message.target_id,
            born_ms=message.born_ms,
        )

    def _send(self, reply: replies.Reply, status: int) -> None:
        headers = (http.Header("Content-Type", "application/json"),)
        reply.send(status, headers, b"{}")


def _reports_end(message: TargetMessage) -> bool:
    """Returns whether a message says that its sender drains or has left.

    Its answer is an acknowledgement also if the message was ignored otherwise,
    and a node that starts on this host has to know of it.
    """
    if isinstance(message, announcements.Departure):
        return True
    return message.target.state is not directory.TargetState.READY
