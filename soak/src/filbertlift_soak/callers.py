"""Callers on the hosts: open load, kept and new connections, returns."""

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

# A caller gives up this long after its own deadline, in seconds, so that an
# answer that comes too late is seen as late.
PATIENCE_S: Final = 2.0
KEPT_CONNECTIONS: Final = 20

EndFunction = Callable[[records.CallRecord], None]


def ignore_end(_record: records.CallRecord) -> None:
    """Takes the end of a call that nothing follows from."""


@attrs.frozen
class Kind:
    """One kind of call.

    Attributes:
        route: first part of the path.
        kind: whether it may run more than once.
        work: the rest of the path, which tells the target what to do.
        body_bytes: size of what is sent.
        waits_s: time that the caller waits, in seconds.
        weight: how often it is drawn.
    """

    route: str
    kind: configuration.CallKind
    work: str
    body_bytes: int
    waits_s: float
    weight: float


@attrs.frozen
class Origin:
    """A host that callers send to."""

    name: str
    service: str
    outbound: model.Address


@attrs.define(eq=False)
class Callers:
    """All callers of a run.

    Attributes:
        journal: where their calls are kept.
        origins: hosts that they send to.
        rng: draws kinds and hosts.
    """

    reactor: Any
    journal: records.Journal
    origins: Sequence[Origin]
    rng: random.Random
    _pools: dict[str, client.HttpPool] = attrs.field(factory=dict)
    _load: task.LoopingCall | None = None
    _numbers: Any = attrs.field(factory=itertools.count)

    def start(self, kinds: Sequence[Kind], rate: float) -> None:
        """Sends calls at a rate a second until `stop`."""
        weights = [kind.weight for kind in kinds]

        def send() -> None:
            kind = self.rng.choices(kinds, weights)[0]
            origin = self.rng.choice(self.origins)
            self.send(origin, kind)

        self._load = task.LoopingCall(send)
        self._load.clock = self.reactor
        self._load.start(1.0 / rate, now=False)

    def stop(self) -> None:
        """Sends no more calls; those under way go on."""
        if self._load is not None and self._load.running:
            self._load.stop()

    def close(self) -> None:
        """Closes the kept connections."""
        for pool in self._pools.values():
            pool.close()

    def send(
        self,
        origin: Origin,
        kind: Kind,
        on_end: EndFunction = ignore_end,
        marker: int | None = None,
    ) -> records.CallRecord:
        """Sends one call; its record is kept in the journal."""
        number = next(self._numbers)
        is_unsafe = kind.kind is configuration.CallKind.UNSAFE
        record = records.CallRecord(
            f"c{number:06d}",
            origin.name,
            origin.service,
            kind.kind,
            "POST" if is_unsafe else "GET",
            f"/{kind.route}/{kind.work}/{number}",
            b"x" * kind.body_bytes,
            self.reactor.seconds(),
            kind.waits_s,
            marker,
        )
        self.journal.calls[record.request_id] = record
        is_kept = marker is None and self.rng.random() < 0.5
        _Sending(self, origin, record, on_end, is_kept).start()
        return record

    def find_pool(self, origin: Origin, is_kept: bool) -> client.HttpPool:
        """Returns a pool of kept connections, or one for a single call."""
        pool = self._pools.get(origin.name) if is_kept else None
        if pool is None:
            pool = client.HttpPool.from_address(
                self.reactor, origin.outbound, KEPT_CONNECTIONS
            )
            if is_kept:
                self._pools[origin.name] = pool
        return pool


@attrs.define(eq=False)
class _Sending:
    """One call on its way."""

    callers: Callers
    origin: Origin
    record: records.CallRecord
    on_end: EndFunction
    is_kept: bool
    _parts: list[bytes] = attrs.field(factory=list)
    _status: int = 0
    _signature: str = ""
    _call: client.ClientCall | None = None
    _timer: Any = None
    _pool: client.HttpPool | None = None

    def start(self) -> None:
        """Sends it."""
        record = self.record
        marks = names.DIALECT
        self._pool = self.callers.find_pool(self.origin, self.is_kept)
        self._timer = self.callers.reactor.callLater(
            record.waits_s + PATIENCE_S, self._give_up
        )
        self._call = self._pool.request(
            record.method,
            record.path,
            (
                http.Header(marks.request_id, record.request_id),
                http.Header(marks.deadline, str(int(record.waits_s * 1000))),
            ),
            record.body,
            client.ClientEvents(
                self._take_head, self._parts.append, self._end, self._fail
            ),
        )

    def _take_head(
        self, status: int, headers: tuple[http.Header, ...], _length: Any
    ) -> None:
        self._status = status
        mark = names.DIALECT.signature.lower()
        for header in headers:
            if header.name.lower() == mark:
                self._signature = header.value

    def _end(self) -> None:
        self.record.status = self._status
        self.record.signature = self._signature
        self.record.answer = b"".join(self._parts)
        self._finish("")

    def _fail(self, failure: client.ClientFailure) -> None:
        self.record.was_sent = failure.sent
        self._finish(failure.reason)

    def _give_up(self) -> None:
        if self._call is not None:
            self._call.cancel()
        self._finish("no-answer")

    def _finish(self, failure: str) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.is_kept and self._pool is not None:
            self._pool.close()
        self.record.failure = failure
        # A call that was given up has not ended for its caller.
        if failure != "no-answer":
            self.record.ended_at = self.callers.reactor.seconds()
        self.on_end(self.record)
