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

# Time limit for saving a departure in the store, in seconds. A target waits 1 s
# for the acknowledgement, which has to arrive even if the store is unavailable.
SAVE_TIMEOUT_S: Final = 0.4

TargetMessage = announcements.Heartbeat | announcements.Departure


@attrs.frozen
class ControlEvents:
    """Callbacks of the control endpoint.

    Attributes:
        on_change: called when the record of the target has changed.
        save: saves the departures in the store; returns a Deferred.
    """

    on_change: Callable[[], None]
    save: Callable[[], Any]


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
            self._save(reply)
        else:
            self._send(reply, 200)

    def _save(self, reply: replies.Reply) -> None:
        saved = self.events.save()
        saved.addTimeout(SAVE_TIMEOUT_S, self.reactor)
        saved.addErrback(self._log_unsaved)
        saved.addBoth(lambda _result: self._send(reply, 200))

    def _log_unsaved(self, reason: Any) -> None:
        # This node has recorded the departure. A node that starts on this host
        # before the registry saves it would not know of it.
        self.log.log(
            "control.departure-unsaved", error=reason.getErrorMessage()
        )

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
