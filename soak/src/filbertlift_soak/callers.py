"""Open-loop load of callers on the hosts, on pooled and new connections."""

from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import task

from filbertlift_core import model
from filbertlift_mesh import configuration
from filbertlift_platform import names
from filbertlift_soak import records
from filbertlift_transport import client
from filbertlift_transport import http

# Time after its deadline for which a caller still waits, in seconds, so that a
# late answer is recorded as late.
CALLER_GRACE_S: Final = 2.0
MAX_POOLED_CONNECTIONS: Final = 20

EndFunction = Callable[[records.CallRecord], None]


def ignore_end(_record: records.CallRecord) -> None:
    """Does nothing at the end of a call."""


@attrs.frozen
class CallTemplate:
    """Properties that calls of the load share.

    Attributes:
        route: first part of the path.
        kind: kind of the calls; tells whether they may run more than once.
        work: rest of the path; tells the target what to do.
        body_bytes: size of the request body.
        timeout_s: time that the caller waits, in seconds.
        weight: relative frequency in the load.
    """

    route: str
    kind: configuration.CallKind
    work: str
    body_bytes: int
    timeout_s: float
    weight: float


@attrs.frozen
class Origin:
    """A host whose node the callers send to."""

    name: str
    service: str
    outbound: model.Address


@attrs.define(eq=False)
class Callers:
    """The callers of a run.

    Attributes:
        journal: record of their calls.
        origins: hosts whose nodes they send to.
        rng: selects templates, hosts and connections.
    """

    reactor: Any
    journal: records.Journal
    origins: Sequence[Origin]
    rng: random.Random
    _pools: dict[str, client.HttpPool] = attrs.field(factory=dict)
    _load: task.LoopingCall | None = None
    _call_numbers: Any = attrs.field(factory=itertools.count)

    def start(self, templates: Sequence[CallTemplate], rate: float) -> None:
        """Sends calls at a rate per second until `stop`."""
        weights = [template.weight for template in templates]

        def send() -> None:
            template = self.rng.choices(templates, weights)[0]
            origin = self.rng.choice(self.origins)
            self.send(origin, template)

        self._load = task.LoopingCall(send)
        self._load.clock = self.reactor
        self._load.start(1.0 / rate, now=False)

    def stop(self) -> None:
        """Sends no more calls; outstanding ones continue."""
        if self._load is not None and self._load.running:
            self._load.stop()

    def close(self) -> None:
        """Closes the pooled connections."""
        for pool in self._pools.values():
            pool.close()

    def send(
        self,
        origin: Origin,
        template: CallTemplate,
        on_end: EndFunction = ignore_end,
        marker: int | None = None,
    ) -> records.CallRecord:
        """Sends one call and records it in the journal."""
        number = next(self._call_numbers)
        is_unsafe = template.kind is configuration.CallKind.UNSAFE
        record = records.CallRecord(
            f"c{number:06d}",
            origin.name,
            origin.service,
            template.kind,
            "POST" if is_unsafe else "GET",
            f"/{template.route}/{template.work}/{number}",
            b"x" * template.body_bytes,
            self.reactor.seconds(),
            template.timeout_s,
            marker,
        )
        self.journal.calls[record.request_id] = record
        is_pooled = marker is None and self.rng.random() < 0.5
        _OutstandingCall(self, origin, record, on_end, is_pooled).start()
        return record

    def get_pool(self, origin: Origin, is_pooled: bool) -> client.HttpPool:
        """Returns the shared pool of a host, or a new one for a single call."""
        pool = self._pools.get(origin.name) if is_pooled else None
        if pool is None:
            pool = client.HttpPool.from_address(
                self.reactor, origin.outbound, MAX_POOLED_CONNECTIONS
            )
            if is_pooled:
                self._pools[origin.name] = pool
        return pool


@attrs.define(eq=False)
class _OutstandingCall:
    """A call that has not ended, with its timer and its pool."""

    callers: Callers
    origin: Origin
    record: records.CallRecord
    on_end: EndFunction
    is_pooled: bool
    _parts: list[bytes] = attrs.field(factory=list)
    _status: int = 0
    _signature: str = ""
    _call: client.ClientCall | None = None
    _timer: Any = None
    _pool: client.HttpPool | None = None

    def start(self) -> None:
        """Sends the call."""
        record = self.record
        dialect = names.DIALECT
        self._pool = self.callers.get_pool(self.origin, self.is_pooled)
        self._timer = self.callers.reactor.callLater(
            record.timeout_s + CALLER_GRACE_S, self._on_timeout
        )
        self._call = self._pool.request(
            record.method,
            record.path,
            (
                http.Header(dialect.request_id, record.request_id),
                http.Header(
                    dialect.deadline, str(int(record.timeout_s * 1000))
                ),
            ),
            record.body,
            client.ClientEvents(
                self._on_head,
                self._parts.append,
                self._on_end,
                self._on_failure,
            ),
        )

    def _on_head(
        self, status: int, headers: tuple[http.Header, ...], _length: Any
    ) -> None:
        self._status = status
        signature_name = names.DIALECT.signature.lower()
        for header in headers:
            if header.name.lower() == signature_name:
                self._signature = header.value

    def _on_end(self) -> None:
        self.record.status = self._status
        self.record.signature = self._signature
        self.record.answer = b"".join(self._parts)
        self._finish("")

    def _on_failure(self, failure: client.ClientFailure) -> None:
        self.record.was_sent = failure.sent
        self._finish(failure.reason)

    def _on_timeout(self) -> None:
        if self._call is not None:
            self._call.cancel()
        self._finish("no-answer")

    def _finish(self, failure: str) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.is_pooled and self._pool is not None:
            self._pool.close()
        self.record.failure = failure
        # The checks count a call that the caller gave up as unanswered.
        if failure != "no-answer":
            self.record.ended_at = self.callers.reactor.seconds()
        self.on_end(self.record)
