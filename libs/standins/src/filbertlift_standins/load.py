"""Open-loop load: sends scheduled calls and records their outcomes."""

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

# Pause before a caller repeats a call.
_REPEAT_PAUSE_S = 0.3
# How long after a call's deadline the caller still waits for a response.
_GRACE_S = 3.0


@attrs.frozen
class CallRecord:
    """The result of one call as its caller saw it.

    Attributes:
        planned: the call.
        outcome: `done`, `not-run`, `unknown`, or `wrong` for a response that
            claims to be complete but is not the expected one.
        status: HTTP status; 0 without a response.
        latency_s: seconds from the planned time to the end.
        code: value of `Filbertlift-Code`, or why there was no response.
        call: value of `Filbertlift-Call`.
        ended_at_s: seconds from the start of the load to the end.
    """

    planned: schedules.PlannedCall
    outcome: str
    status: int
    latency_s: float
    code: str
    call: str
    ended_at_s: float


# Returns the next attempt after one that ended, or None for no repeat.
RepeatPolicy = Callable[[CallRecord], schedules.PlannedCall | None]


def never_repeat(_record: CallRecord) -> schedules.PlannedCall | None:
    """Repeats no call."""
    return None


def make_repeat_policy(
    entries: list[model.Address], attempts: int, rng: random.Random
) -> RepeatPolicy:
    """Returns a policy that repeats keyed calls that were not done.

    Each repeat goes to an entry picked at random.
    """

    def repeat(record: CallRecord) -> schedules.PlannedCall | None:
        planned = record.planned
        if record.outcome not in ("not-run", "unknown"):
            return None
        if not planned.operation.keyed or planned.attempt >= attempts:
            return None
        return attrs.evolve(
            planned,
            entry=rng.choice(entries),
            attempt=planned.attempt + 1,
            may_have_run=record.outcome == "unknown",
        )

    return repeat


def classify_response(
    planned: schedules.PlannedCall,
    body: bytes,
    check: content.ContentCheck | None,
    response: client.Response,
) -> str:
    """Returns the outcome of a call that got an HTTP response."""
    stated_outcome = response.headers.get("filbertlift-outcome", "")
    if response.status >= 300:
        shed = "filbertlift-shed" in response.headers
        return stated_outcome or ("not-run" if shed else "unknown")
    if check is not None:
        is_complete = check.received == planned.operation.answer_bytes
        return "done" if is_complete and check.matches else "wrong"
    is_expected = content.is_response_to(
        response.body, planned.request_id, body
    )
    return "done" if is_expected and stated_outcome in ("", "done") else "wrong"


class Load:
    """Sends each call of a schedule at its planned time."""

    def __init__(
        self,
        clock: Any,
        sender: client.Client,
        token: str = "",
        repeat: RepeatPolicy = never_repeat,
    ) -> None:
        self.records: list[CallRecord] = []
        self.in_flight = 0
        self.clock = clock
        self._sender = sender
        self._token = token
        self._repeat = repeat
        self._schedule: Iterator[schedules.PlannedCall] = iter(())
        self._started_at = 0.0
        self._ended = False
        self._result: defer.Deferred[list[CallRecord]] = defer.Deferred()

    def start(
        self, schedule: Iterator[schedules.PlannedCall]
    ) -> "defer.Deferred[list[CallRecord]]":
        """Sends every call of the schedule.

        Returns:
            The records, once the last call has ended.
        """
        self._schedule = schedule
        self._started_at = self.clock.seconds()
        self._send_next()
        return self._result

    def stop(self) -> None:
        """Sends no further calls; calls in flight run to their end."""
        self._schedule = iter(())

    def _begin(self, planned: schedules.PlannedCall) -> None:
        self.in_flight += 1
        self._send(planned)

    def _send(self, planned: schedules.PlannedCall) -> None:
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

    def _send_planned(self, planned: schedules.PlannedCall) -> None:
        self._begin(planned)
        self._send_next()

    def _receive(
        self,
        response: client.Response,
        planned: schedules.PlannedCall,
        body: bytes,
        check: content.ContentCheck | None,
    ) -> None:
        outcome = classify_response(planned, body, check, response)
        code = response.headers.get("filbertlift-code", "")
        call = response.headers.get("filbertlift-call", "")
        self._record(planned, outcome, response.status, code, call)

    def _fail(
        self, reason: failure.Failure, planned: schedules.PlannedCall
    ) -> None:
        error = reason.value
        if not isinstance(error, client.RequestError):
            reason.raiseException()
        error_reason = error.reason
        outcome = "not-run" if error_reason == "refused" else "unknown"
        self._record(planned, outcome, 0, error_reason, "")

    def _record(
        self,
        planned: schedules.PlannedCall,
        outcome: str,
        status: int,
        code: str,
        call: str,
    ) -> None:
        if planned.may_have_run and outcome == "not-run":
            # This attempt did not run, but an earlier one may have.
            outcome = "unknown"
        now_s = self.clock.seconds() - self._started_at
        latency_s = now_s - planned.at_s
        record = CallRecord(
            planned, outcome, status, latency_s, code, call, now_s
        )
        next_attempt = self._repeat(record)
        if next_attempt is not None:
            self.clock.callLater(_REPEAT_PAUSE_S, self._send, next_attempt)
            return
        self.in_flight -= 1
        self.records.append(record)
        self._finish()

    def _finish(self) -> None:
        if self._ended and not self.in_flight and not self._result.called:
            self._result.callback(self.records)


def _feed(check: content.ContentCheck, data: bytes) -> None:
    check.feed(data)
