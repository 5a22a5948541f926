"""Records of what callers and targets observed during a run."""

from collections.abc import Iterator
import hashlib

import attrs

from filbertlift_mesh import configuration


@attrs.define(eq=False)
class CallRecord:
    """One call as its caller observed it; times are seconds of the run's clock.

    Attributes:
        request_id: id of the call.
        host: host whose node it was sent to.
        caller: service of that host.
        kind: kind of the call; tells whether it may run more than once.
        method: HTTP method.
        path: path; contains the requested work.
        body: body of the request.
        sent_at: when it was sent.
        timeout_s: time that the caller waits, in seconds.
        marker: version whose marker route it uses; None for other routes.
        ended_at: when it ended; None if it has not.
        status: status of the answer; 0 if there is no complete one.
        signature: signature of the target in the answer, or empty.
        answer: body of the answer.
        failure: reason why there is no complete answer, or empty.
        was_sent: whether any byte of a failed call may have reached the node.
    """

    request_id: str
    host: str
    caller: str
    kind: configuration.CallKind
    method: str
    path: str
    body: bytes
    sent_at: float
    timeout_s: float
    marker: int | None = None
    ended_at: float | None = None
    status: int = 0
    signature: str = ""
    answer: bytes = b""
    failure: str = ""
    was_sent: bool = False


@attrs.define(eq=False)
class RunRecord:
    """One arrival of a call at a target; times are seconds of the run's clock.

    Attributes:
        request_id: id of the call.
        host: host of the target.
        target_id: id of the target.
        service: service of the target.
        method: HTTP method.
        path: path that arrived.
        body: body that arrived.
        caller: service named in the call as its caller.
        timeout_s: time that the target has for the answer, in seconds.
        at: when it arrived.
        has_run: False if the target refused it.
        status: status of the complete answer; 0 if there is none.
        ended_at: when the target stopped working on it; None if it has not.
    """

    request_id: str
    host: str
    target_id: str
    service: str
    method: str
    path: str
    body: bytes
    caller: str
    timeout_s: float
    at: float
    has_run: bool = True
    status: int = 0
    ended_at: float | None = None


@attrs.frozen
class Interval:
    """Interval of a disturbance or of the stop of a node.

    Attributes:
        host: name of the host; empty for the store.
        start: start, in seconds of the run's clock.
        end: end, in seconds of the run's clock.
    """

    host: str
    start: float
    end: float


@attrs.define
class Publication:
    """One version of the configuration and its marker route.

    Attributes:
        version: number of the version.
        sent_at: when it was written to the store.
        removed_at: when the first version without its marker route was
            written; None if there is none yet.
        unweighted: service that has no weight on the split route; empty if
            all have.
    """

    version: int
    sent_at: float
    removed_at: float | None = None
    unweighted: str = ""


@attrs.frozen
class Exit:
    """End of a node's process that no step had brought about.

    Attributes:
        host: name of the host.
        status: exit status, or the negative number of a signal.
        age_s: time since the start of the process, in seconds.
    """

    host: str
    status: int
    age_s: float


@attrs.define(eq=False)
class Journal:
    """Everything that was recorded in a run.

    Attributes:
        calls: calls by request id.
        runs: arrivals at targets, in order.
        disturbances: intervals during which a host or the store was disturbed.
        stops: intervals from the SIGTERM to a node to the end of its process.
        starts: by host, when each process of its node was started.
        exits: ends of processes that no step had brought about.
        departures: by target id, when its departure was acknowledged.
        publications: published versions, in order.
    """

    calls: dict[str, CallRecord] = attrs.field(factory=dict)
    runs: list[RunRecord] = attrs.field(factory=list)
    disturbances: list[Interval] = attrs.field(factory=list)
    stops: list[Interval] = attrs.field(factory=list)
    starts: dict[str, list[float]] = attrs.field(factory=dict)
    exits: list[Exit] = attrs.field(factory=list)
    departures: dict[str, float] = attrs.field(factory=dict)
    publications: list[Publication] = attrs.field(factory=list)

    def iterate_runs(self, request_id: str) -> Iterator[RunRecord]:
        """Yields the runs of a call, without refused ones."""
        for run in self.runs:
            if run.request_id == request_id and run.has_run:
                yield run

    def is_undisturbed(self, host: str, start: float, end: float) -> bool:
        """Returns whether neither the host nor the store was disturbed."""
        return not any(
            disturbance.host in ("", host)
            and disturbance.start <= end
            and disturbance.end >= start
            for disturbance in self.disturbances
        )

    def is_all_undisturbed(self, start: float, end: float) -> bool:
        """Returns whether no host was disturbed, nor the store."""
        return not any(
            disturbance.start <= end and disturbance.end >= start
            for disturbance in self.disturbances
        )


def sign(target_id: str, request_id: str, body: bytes) -> str:
    """Returns the signature of a target for an answer."""
    digest = hashlib.sha256(body).hexdigest()[:16]
    return f"{target_id}.{request_id}.{digest}"


def make_body(request_id: str, length: int) -> bytes:
    """Returns the body of the answer to a call."""
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (length // len(block) + 1))[:length]
