"""What callers and targets saw during a run."""

from collections.abc import Iterator
import hashlib

import attrs

from filbertlift_mesh import configuration


@attrs.define(eq=False)
class CallRecord:
    """One call, as its caller saw it; times are seconds of the run's clock.

    Attributes:
        request_id: id of the call.
        host: host that it was sent to.
        caller: service of that host.
        kind: whether it may run more than once.
        method: HTTP method.
        path: path with the work that is asked for.
        body: what was sent.
        sent_at: when it was sent.
        waits_s: time that the caller waits, in seconds.
        marker: version whose own route it uses, None for other routes.
        ended_at: when it ended, None while it is open.
        status: status of the answer, 0 without a complete one.
        signature: mark of the target on the answer, or empty.
        answer: body of the answer.
        failure: why there is no complete answer, or empty.
        was_sent: whether a byte of it may have reached the node.
    """

    request_id: str
    host: str
    caller: str
    kind: configuration.CallKind
    method: str
    path: str
    body: bytes
    sent_at: float
    waits_s: float
    marker: int | None = None
    ended_at: float | None = None
    status: int = 0
    signature: str = ""
    answer: bytes = b""
    failure: str = ""
    was_sent: bool = False


@attrs.define(eq=False)
class RunRecord:
    """One arrival of a call at a target.

    Attributes:
        request_id: id of the call.
        host: host of the target.
        target_id: id of the target.
        service: service of the target.
        method: HTTP method.
        path: path that arrived.
        body: body that arrived.
        caller: service that the call is said to come from.
        waits_s: time that the target was given, in seconds.
        at: when it arrived.
        has_run: False when the target turned it away.
        status: status of the complete answer, 0 without one.
    """

    request_id: str
    host: str
    target_id: str
    service: str
    method: str
    path: str
    body: bytes
    caller: str
    waits_s: float
    at: float
    has_run: bool = True
    status: int = 0


@attrs.frozen
class Span:
    """A time during which something was disturbed.

    Attributes:
        host: name of the host; empty for the store.
        start: begin, in seconds of the run's clock.
        end: end.
    """

    host: str
    start: float
    end: float


@attrs.define
class Publication:
    """One version of the configuration.

    Attributes:
        version: its number.
        sent_at: when it was written to the store.
        removed_at: when the version without its route was written.
    """

    version: int
    sent_at: float
    removed_at: float | None = None


@attrs.define(eq=False)
class Journal:
    """All that was seen in a run.

    Attributes:
        calls: by request id.
        runs: arrivals at targets, in order.
        spans: disturbances.
        stops: by host, spans from SIGTERM to the end of the process.
        starts: by host, when each of its processes was started.
        drains: by target, when its departure was acknowledged.
        publications: versions in order.
    """

    calls: dict[str, CallRecord] = attrs.field(factory=dict)
    runs: list[RunRecord] = attrs.field(factory=list)
    spans: list[Span] = attrs.field(factory=list)
    stops: list[Span] = attrs.field(factory=list)
    starts: dict[str, list[float]] = attrs.field(factory=dict)
    drains: dict[str, float] = attrs.field(factory=dict)
    publications: list[Publication] = attrs.field(factory=list)

    def iterate_runs(self, request_id: str) -> Iterator[RunRecord]:
        """Yields the runs of a call, without those turned away."""
        for run in self.runs:
            if run.request_id == request_id and run.has_run:
                yield run

    def is_calm(self, host: str, start: float, end: float) -> bool:
        """Returns whether neither a host nor the store was disturbed."""
        return not any(
            span.host in ("", host) and span.start <= end and span.end >= start
            for span in self.spans
        )

    def is_all_calm(self, start: float, end: float) -> bool:
        """Returns whether nothing at all was disturbed."""
        return not any(
            span.start <= end and span.end >= start for span in self.spans
        )


def sign(target_id: str, request_id: str, body: bytes) -> str:
    """Returns the mark of a target on an answer."""
    digest = hashlib.sha256(body).hexdigest()[:16]
    return f"{target_id}.{request_id}.{digest}"


def make_body(request_id: str, length: int) -> bytes:
    """Returns the body of the answer to a call."""
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (length // len(block) + 1))[:length]
