"""What the target beside this node reports: heartbeats and departures."""

from collections.abc import Callable
from typing import Any
from typing import Final

import attrs

from filbertlift_core import exceptions as core_exceptions
from filbertlift_mesh import announcements
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import metrics as node_metrics
from filbertlift_transport import http
from filbertlift_transport import reply as replies

# A target waits one second for the acknowledgement of its departure. The
# store gets less, so that it comes in time with the store away, too.
SAVE_S: Final = 0.4

Parsed = announcements.Announcement | announcements.Departure


@attrs.frozen
class ControlEvents:
    """What the control side does besides.

    Attributes:
        on_news: what is known of the target changed.
        save: keeps a departure in the store; returns a Deferred.
    """

    on_news: Callable[[], None]
    save: Callable[[], Any]


@attrs.define(eq=False)
class Control:
    """Takes what the target says of itself.

    Attributes:
        parse: reads a request of the target; raises FilbertliftError, and
            returns None for a request that is not of a target.
        target: what is known of the target.
    """

    reactor: Any
    parse: Callable[[http.Request], Parsed | None]
    target: announcements.LocalTarget
    events: ControlEvents
    log: eventlog.EventLog
    metrics: node_metrics.NodeMetrics

    def handle(self, request: http.Request, reply: replies.Reply) -> None:
        """Answers one request of the target."""
        try:
            parsed = self.parse(request)
        except core_exceptions.FilbertliftError as error:
            self.metrics.beats.labels("malformed").inc()
            self.log.log_request(
                "control.malformed", path=request.path, error=error
            )
            self._send(reply, 400)
            return
        if parsed is None:
            self._send(reply, 404)
            return
        if isinstance(parsed, announcements.Announcement):
            result = self.target.note_beat(parsed, self.reactor.seconds())
        else:
            result = self.target.note_departure(parsed)
        self.metrics.beats.labels(result).inc()
        if result != "known":
            self._log_result(parsed, result)
        if result != "news":
            self._send(reply, 200)
            return
        self.events.on_news()
        if self.target.is_leaving:
            self._save(reply)
        else:
            self._send(reply, 200)

    def _save(self, reply: replies.Reply) -> None:
        saved = self.events.save()
        saved.addTimeout(SAVE_S, self.reactor)
        saved.addErrback(self._log_unsaved)
        saved.addBoth(lambda _result: self._send(reply, 200))

    def _log_unsaved(self, reason: Any) -> None:
        # This node keeps to the departure all the same; only a node that
        # starts here later would not know of it.
        self.log.log(
            "control.departure-unsaved", error=reason.getErrorMessage()
        )

    def _log_result(self, parsed: Parsed, result: str) -> None:
        if isinstance(parsed, announcements.Announcement):
            target = parsed.target
            self.log.log_request(
                "control.beat",
                result=result,
                target=target.target_id,
                born_ms=target.born_ms,
                service=target.service,
                state=target.state.name.lower(),
                sequence=parsed.sequence,
                slots=target.slots,
                address=parsed.address,
            )
            return
        self.log.log(
            "control.departure",
            result=result,
            target=parsed.target_id,
            born_ms=parsed.born_ms,
        )

    def _send(self, reply: replies.Reply, status: int) -> None:
        headers = (http.Header("Content-Type", "application/json"),)
        reply.send(status, headers, b"{}")
