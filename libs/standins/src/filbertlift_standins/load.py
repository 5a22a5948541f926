"""Open-loop load: a fixed schedule of calls, and what came of each."""

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

# Grace after a call's deadline before the caller itself gives up.
_GRACE_S = 3.0


@attrs.frozen
class Operation:
    """One kind of call.

    Attributes:
        work_class: class under which the results are counted.
        method: HTTP method.
        path: path with the service first; `{n}` becomes the call's number.
        share: weight among the operations.
        work_ms: time that the target takes; None leaves it to the target.
        answer_bytes: bytes of a download; 0 for a short answer.
        body_bytes: bytes of the request's body.
        keyed: whether the call carries an idempotency key.
        deadline_ms: deadline sent with the call; 0 for none.
    """

    work_class: str
    method: str
    path: str
    share: float = 1.0
    work_ms: float | None = None
    answer_bytes: int = 0
    body_bytes: int = 0
    keyed: bool = False
    deadline_ms: int = 5000

    @classmethod
    def parse(cls, text: str) -> "Operation":
        """Returns the operation written as in this example.

        `counter=GET /enquiry-desk/status;share=0.8;work_ms=5`

        Raises:
            ValueError: if the text has another form.
        """
        first, *options = text.split(";")
        work_class, _, operation = first.partition("=")
        method, _, path = operation.partition(" ")
        if not path.startswith("/"):
            raise ValueError(f"{first!r} is not like 'counter=GET /path'")
        values: dict[str, Any] = {}
        kinds = {"share": float, "work_ms": float, "keyed": int}
        for option in options:
            name, _, value = option.partition("=")
            values[name] = kinds.get(name, int)(value)
        try:
            return cls(work_class, method, path, **values)
        except TypeError as error:
            raise ValueError(f"{text!r} has an unknown option") from error


@attrs.frozen
class RateStep:
    """From `at_s` on, calls are sent at `rate` a second."""

    at_s: float
    rate: float

    @classmethod
    def parse_list(cls, text: str) -> "list[RateStep]":
        """Returns the steps written as `0:100,5:1000,7:100`.

        Raises:
            ValueError: if the text has another form.
        """
        steps = []
        for part in text.split(","):
            at_s, _, rate = part.partition(":")
            steps.append(cls(float(at_s), float(rate)))
        return sorted(steps, key=lambda step: step.at_s)


@attrs.frozen
class Planned:
    """One call of the schedule."""

    at_s: float
    operation: Operation
    entry: model.Address
    request_id: str


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

    planned: Planned
    outcome: str
    status: int
    latency_s: float
    code: str
    call: str
    ended_at_s: float


def plan_calls(
    rng: random.Random,
    prefix: str,
    steps: list[RateStep],
    duration_s: float,
    operations: list[Operation],
    entries: list[model.Address],
) -> Iterator[Planned]:
    """Yields the schedule; the same seed yields the same schedule."""
    weights = [operation.share for operation in operations]
    at_s = 0.0
    number = 0
    while True:
        rate = [step.rate for step in steps if step.at_s <= at_s][-1]
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            return
        operation = rng.choices(operations, weights)[0]
        entry = rng.choice(entries)
        yield Planned(at_s, operation, entry, f"{prefix}-{number}")
        number += 1


def judge_response(
    planned: Planned,
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
        on_record: Callable[[CallRecord], None] | None = None,
    ) -> None:
        self.records: list[CallRecord] = []
        self.in_flight = 0
        self.clock = clock
        self._sender = sender
        self._token = token
        self._on_record = on_record or self.records.append
        self._schedule: Iterator[Planned] = iter(())
        self._started_at = 0.0
        self._ended = False
        self._result: defer.Deferred[list[CallRecord]] = defer.Deferred()

    def start(
        self, schedule: Iterator[Planned]
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

    def send(self, planned: Planned) -> None:
        """Sends one call now."""
        operation = planned.operation
        headers = {"Request-Id": planned.request_id}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if operation.work_ms is not None:
            headers["Work-Ms"] = f"{operation.work_ms:g}"
        if operation.keyed:
            headers["Idempotency-Key"] = planned.request_id
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
        self.in_flight += 1
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
                self.send(planned)
                continue
            self.clock.callLater(
                planned.at_s - elapsed, self._send_planned, planned
            )
            return
        self._ended = True
        self._finish()

    def _send_planned(self, planned: Planned) -> None:
        self.send(planned)
        self._send_next()

    def _receive(
        self,
        response: client.Response,
        planned: Planned,
        body: bytes,
        check: content.ContentCheck | None,
    ) -> None:
        outcome = judge_response(planned, body, check, response)
        code = response.headers.get("filbertlift-code", "")
        call = response.headers.get("filbertlift-call", "")
        self._record(planned, outcome, response.status, code, call)

    def _fail(self, reason: failure.Failure, planned: Planned) -> None:
        error = reason.value
        if not isinstance(error, client.RequestError):
            reason.raiseException()
        why = error.reason
        outcome = "not-run" if why == "refused" else "unknown"
        self._record(planned, outcome, 0, why, "")

    def _record(
        self, planned: Planned, outcome: str, status: int, code: str, call: str
    ) -> None:
        now_s = self.clock.seconds() - self._started_at
        latency_s = now_s - planned.at_s
        self.in_flight -= 1
        self._on_record(
            CallRecord(planned, outcome, status, latency_s, code, call, now_s)
        )
        self._finish()

    def _finish(self) -> None:
        if self._ended and not self.in_flight and not self._result.called:
            self._result.callback(self.records)


def _feed(check: content.ContentCheck, data: bytes) -> None:
    check.feed(data)
