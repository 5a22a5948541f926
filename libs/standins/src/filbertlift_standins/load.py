"""Open-loop load: sends the calls of a schedule and records each end."""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import random
from typing import Any

import attrs
from twisted.internet import defer
from twisted.python import failure

from filbertlift_core import model
from filbertlift_standins import client
from filbertlift_standins import content
from filbertlift_standins import schedule as schedules

# Pause of a caller before it repeats a call.
_REPEAT_PAUSE_S = 0.3
# Grace after a call's deadline before the caller itself gives up.
_GRACE_S = 3.0


@attrs.frozen
class CallRecord:
    """What the caller learned of one call.

    Attributes:
        planned: the call.
        outcome: `done`, `not-run`, `unknown`, or `wrong` for an answer that
            was presented as whole but is not the answer to this request.
        status: HTTP status; 0 without an answer.
        latency_s: seconds from the planned time to the end.
        code: `Filbertlift-Code`, or why there was no answer.
        call: `Filbertlift-Call`.
        ended_at_s: seconds from the start of the load to the end.
    """

    planned: schedules.Planned
    outcome: str
    status: int
    latency_s: float
    code: str
    call: str
    ended_at_s: float


# Returns the next attempt of a call that ended, or None.
Repeat = Callable[[CallRecord], schedules.Planned | None]


def repeat_nothing(_record: CallRecord) -> schedules.Planned | None:
    """Makes one attempt of each call."""
    return None


def make_repeat(
    entries: list[model.Address], attempts: int, rng: random.Random
) -> Repeat:
    """Returns a repeat of keyed calls that were not done, at any entry."""

    def repeat(record: CallRecord) -> schedules.Planned | None:
        planned = record.planned
        if record.outcome not in ("not-run", "unknown"):
            return None
        if not planned.operation.keyed or planned.attempt >= attempts:
            return None
        return attrs.evolve(
            planned,
            entry=rng.choice(entries),
            attempt=planned.attempt + 1,
            doubtful=record.outcome == "unknown",
        )

    return repeat


def judge_response(
    planned: schedules.Planned,
    body: bytes,
    check: content.ContentCheck | None,
    response: client.Response,
) -> str:
    """Returns the outcome of a call that got an HTTP response."""
    told = response.headers.get("filbertlift-outcome", "")
    if response.status >= 300:
        shed = "filbertlift-shed" in response.headers
        return told or ("not-run" if shed else "unknown")
    if check is not None:
        whole = check.received == planned.operation.answer_bytes
        return "done" if whole and check.agrees else "wrong"
    right = content.is_answer_to(response.body, planned.request_id, body)
    return "done" if right and told in ("", "done") else "wrong"


class Load:
    """Sends the calls of a schedule at their times."""

    def __init__(
        self,
        clock: Any,
        sender: client.Client,
        token: str = "",
        repeat: Repeat = repeat_nothing,
    ) -> None:
        self.records: list[CallRecord] = []
        self.in_flight = 0
        self.clock = clock
        self._sender = sender
        self._token = token
        self._repeat = repeat
        self._schedule: Iterator[schedules.Planned] = iter(())
        self._started_at = 0.0
        self._ended = False
        self._result: defer.Deferred[list[CallRecord]] = defer.Deferred()

    def start(
        self, schedule: Iterator[schedules.Planned]
    ) -> "defer.Deferred[list[CallRecord]]":
        """Sends every call of the schedule.

        Returns:
            The records, when the last call has ended.
        """
        self._schedule = schedule
        self._started_at = self.clock.seconds()
        self._send_next()
        return self._result

    def stop(self) -> None:
        """Sends no further call; calls in flight still end."""
        self._schedule = iter(())

    def _begin(self, planned: schedules.Planned) -> None:
        self.in_flight += 1
        self._send(planned)

    def _send(self, planned: schedules.Planned) -> None:
        operation = planned.operation
        headers = {"Request-Id": planned.request_id}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if operation.work_ms is not None:
            headers["Work-Ms"] = f"{operation.work_ms:g}"
        if operation.keyed:
            headers["Idempotency-Key"] = planned.request_id
        if planned.attempt > 1:
            headers["Filbertlift-Attempt"] = str(planned.attempt)
        if operation.deadline_ms:
            headers["Filbertlift-Deadline-Ms"] = str(operation.deadline_ms)
        number = planned.request_id.rpartition("-")[2]
        target = operation.path.replace("{n}", number)
        check = None
        if operation.answer_bytes:
            separator = "&" if "?" in target else "?"
            target += f"{separator}bytes={operation.answer_bytes}"
            check = content.ContentCheck(planned.request_id)
        body = planned.request_id.encode().ljust(operation.body_bytes, b".")
        body = body if operation.body_bytes else b""
        result = self._sender.request(
            planned.entry,
            operation.method,
            target,
            headers,
            body,
            (operation.deadline_ms or 30_000) / 1000 + _GRACE_S,
            None if check is None else functools.partial(_feed, check),
        )
        result.addCallbacks(
            self._receive,
            self._fail,
            callbackArgs=(planned, body, check),
            errbackArgs=(planned,),
        )

    def _send_next(self) -> None:
        elapsed = self.clock.seconds() - self._started_at
        for planned in self._schedule:
            if planned.at_s <= elapsed:
                self._begin(planned)
                continue
            self.clock.callLater(
                planned.at_s - elapsed, self._send_planned, planned
            )
            return
        self._ended = True
        self._finish()

    def _send_planned(self, planned: schedules.Planned) -> None:
        self._begin(planned)
        self._send_next()

    def _receive(
        self,
        response: client.Response,
        planned: schedules.Planned,
        body: bytes,
        check: content.ContentCheck | None,
    ) -> None:
        outcome = judge_response(planned, body, check, response)
        code = response.headers.get("filbertlift-code", "")
        call = response.headers.get("filbertlift-call", "")
        self._record(planned, outcome, response.status, code, call)

    def _fail(
        self, reason: failure.Failure, planned: schedules.Planned
    ) -> None:
        error = reason.value
        if not isinstance(error, client.RequestError):
            reason.raiseException()
        why = error.reason
        outcome = "not-run" if why == "refused" else "unknown"
        self._record(planned, outcome, 0, why, "")

    def _record(
        self,
        planned: schedules.Planned,
        outcome: str,
        status: int,
        code: str,
        call: str,
    ) -> None:
        if planned.doubtful and outcome == "not-run":
            # Only this attempt certainly did not run.
            outcome = "unknown"
        now_s = self.clock.seconds() - self._started_at
        latency_s = now_s - planned.at_s
        record = CallRecord(
            planned, outcome, status, latency_s, code, call, now_s
        )
        following = self._repeat(record)
        if following is not None:
            self.clock.callLater(_REPEAT_PAUSE_S, self._send, following)
            return
        self.in_flight -= 1
        self.records.append(record)
        self._finish()

    def _finish(self) -> None:
        if self._ended and not self.in_flight and not self._result.called:
            self._result.callback(self.records)


def _feed(check: content.ContentCheck, data: bytes) -> None:
    check.feed(data)
