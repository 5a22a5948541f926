"""Keys, leases and watches of the store stand-in, with their faults."""

from collections import Counter
from collections.abc import Callable
import random
import time
from typing import Any

import attrs

from filbertlift_core import env
from filbertlift_standins import web

# Maximum time that a watch waits, whatever the client asks for.
_MAX_WAIT_S = 60.0
_KEYS = "/v1/keys/"
_LEASES = "/v1/leases"


@attrs.define
class Faults:
    """Faults of the store; all can be changed at run time.

    Attributes:
        outage: empty for none, or `refuse`, `unavailable` (503) or `hang`.
        outage_s: seconds until the outage ends by itself; 0 for never.
        delay_s: seconds by which each call is delayed.
        lost_next: number of next writes that take effect but get no
            response.
        lost_share: share of writes that take effect but get no response.
        lapse_leases: set to make every lease lapse now.
        silence_watches: set to silence every connection with a pending watch
            permanently; new connections work.
    """

    outage: str = ""
    outage_s: float = 0.0
    delay_s: float = 0.0
    lost_next: int = 0
    lost_share: float = 0.0
    lapse_leases: bool = False
    silence_watches: bool = False


@attrs.frozen
class Entry:
    """A value with the revision and the time of its write.

    The time is in seconds since the epoch.
    """

    value: bytes
    revision: int
    lease: str
    written_at: float


@attrs.define
class Lease:
    """A lease; its keys are removed when it lapses."""

    ttl_s: float
    timer: Any


@attrs.define(eq=False)
class Watch:
    """A pending watch on a key."""

    exchange: web.Exchange
    key: str
    timer: Any


class Store:
    """Keys, leases and watches, with the faults that apply to them."""

    def __init__(
        self, clock: Any, rng: random.Random, faults: Faults | None = None
    ) -> None:
        self.faults = faults or Faults()
        self.calls: Counter[str] = Counter()
        self.on_outage: Callable[[bool], None] = lambda _refuse: None
        self._clock = clock
        self._rng = rng
        self._revision = 0
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._watches: dict[str, list[Watch]] = {}
        self._outage_timer: Any = None

    def handle(self, exchange: web.Exchange) -> None:
        """Handles a request, subject to the faults."""
        if exchange.request.path.startswith("/-/"):
            self.handle_control(exchange)
            return
        if self.faults.outage == "hang":
            self.calls["hung"] += 1
            return
        if self.faults.outage:
            self.calls["refused"] += 1
            exchange.respond(503)
            return
        if self.faults.delay_s > 0:
            self._clock.callLater(self.faults.delay_s, self._dispatch, exchange)
            return
        self._dispatch(exchange)

    def handle_control(self, exchange: web.Exchange) -> None:
        """Serves the pages for faults, counters and keys."""
        path = exchange.request.path
        if path == "/-/faults":
            web.handle_faults(exchange, self.faults, self.apply_faults)
        elif path == "/-/counters":
            exchange.respond_json(self.count())
        elif path == "/-/keys":
            exchange.respond_json(
                {key: entry.revision for key, entry in self._entries.items()}
            )
        else:
            exchange.respond(404)

    def count(self) -> dict[str, Any]:
        """Returns the number of calls by operation, and the sizes."""
        return {
            "calls": dict(self.calls),
            "revision": self._revision,
            "keys": len(self._entries),
            "leases": len(self._leases),
            "watches": sum(map(len, self._watches.values())),
            "value_bytes": sum(
                len(entry.value) for entry in self._entries.values()
            ),
        }

    def apply_faults(self) -> None:
        """Applies the faults that act once, and starts or ends an outage."""
        if self.faults.lapse_leases:
            self.faults.lapse_leases = False
            for lease in list(self._leases):
                self._lapse(lease)
        if self.faults.silence_watches:
            self.faults.silence_watches = False
            self._silence_watches()
        if self._outage_timer is not None and self._outage_timer.active():
            self._outage_timer.cancel()
        if self.faults.outage and self.faults.outage_s > 0:
            self._outage_timer = self._clock.callLater(
                self.faults.outage_s, self._end_outage
            )
        self.on_outage(self.faults.outage == "refuse")

    def _end_outage(self) -> None:
        self.faults.outage = ""
        self.on_outage(False)

    def _silence_watches(self) -> None:
        for watches in self._watches.values():
            for watch in watches:
                watch.exchange.connection.silent = True

    def _dispatch(self, exchange: web.Exchange) -> None:
        request = exchange.request
        if request.path.startswith(_KEYS):
            self._handle_key(exchange, request.path.removeprefix(_KEYS))
        elif request.path.startswith(_LEASES) and request.method == "POST":
            name = request.path.removeprefix(_LEASES).strip("/")
            self._handle_lease(exchange, name)
        else:
            exchange.respond(404)

    def _handle_key(self, exchange: web.Exchange, key: str) -> None:
        request = exchange.request
        try:
            after = request.get_number("after", -1)
            wait = request.get_number("wait", 0)
            expected = int(request.get_number("revision", -1))
        except ValueError:
            exchange.respond(400)
            return
        if request.method == "GET" and after >= 0:
            self._watch(exchange, key, after, min(wait, _MAX_WAIT_S))
        elif request.method == "GET":
            self.calls["get"] += 1
            self._respond_with_entry(exchange, key)
        elif request.method == "PUT":
            self._put(exchange, key, expected)
        elif request.method == "DELETE":
            self._delete(exchange, key, expected)
        else:
            exchange.respond(405)

    def _respond_with_entry(self, exchange: web.Exchange, key: str) -> None:
        entry = self._entries.get(key)
        if entry is None:
            exchange.respond(404)
            return
        headers = {
            "Revision": str(entry.revision),
            "Written-At": f"{entry.written_at:.4f}",
        }
        exchange.respond(200, entry.value, headers)

    def _put(self, exchange: web.Exchange, key: str, expected: int) -> None:
        self.calls["put"] += 1
        request = exchange.request
        lease = request.query.get("lease", "")
        if len(request.body) > env.MAX_STORE_VALUE_BYTES:
            exchange.respond(413)
            return
        if lease and lease not in self._leases:
            exchange.respond(410)
            return
        if not self._check_revision(exchange, key, expected):
            return
        self._revision += 1
        self._entries[key] = Entry(
            request.body, self._revision, lease, time.time()
        )
        self._respond_to_write(exchange)
        self._notify(key)

    def _delete(self, exchange: web.Exchange, key: str, expected: int) -> None:
        self.calls["delete"] += 1
        if key not in self._entries:
            exchange.respond(404)
            return
        if not self._check_revision(exchange, key, expected):
            return
        self._remove(key)
        self._respond_to_write(exchange)

    def _check_revision(
        self, exchange: web.Exchange, key: str, expected: int
    ) -> bool:
        entry = self._entries.get(key)
        current = 0 if entry is None else entry.revision
        if expected in (-1, current):
            return True
        self.calls["conflict"] += 1
        exchange.respond(409, headers={"Revision": str(current)})
        return False

    def _remove(self, key: str) -> None:
        self._revision += 1
        del self._entries[key]
        self._notify(key)

    def _respond_to_write(self, exchange: web.Exchange) -> None:
        lost = self._rng.random() < self.faults.lost_share
        if self.faults.lost_next > 0:
            self.faults.lost_next -= 1
            lost = True
        if lost:
            self.calls["answer_lost"] += 1
            exchange.abort()
            return
        exchange.respond(200, headers={"Revision": str(self._revision)})

    def _watch(
        self, exchange: web.Exchange, key: str, after: float, wait_s: float
    ) -> None:
        self.calls["watch"] += 1
        entry = self._entries.get(key)
        if entry is not None and entry.revision > after:
            self._respond_with_entry(exchange, key)
            return
        watch = Watch(exchange, key, None)
        watch.timer = self._clock.callLater(wait_s, self._expire, watch)
        exchange.on_lost = lambda: self._remove_watch(watch)
        self._watches.setdefault(key, []).append(watch)

    def _remove_watch(self, watch: Watch) -> None:
        watches = self._watches.get(watch.key, [])
        if watch in watches:
            watches.remove(watch)
        if not watches:
            self._watches.pop(watch.key, None)
        if watch.timer.active():
            watch.timer.cancel()

    def _expire(self, watch: Watch) -> None:
        self._remove_watch(watch)
        watch.exchange.respond(304)

    def _notify(self, key: str) -> None:
        for watch in list(self._watches.get(key, [])):
            self._remove_watch(watch)
            self._respond_with_entry(watch.exchange, key)

    def _handle_lease(self, exchange: web.Exchange, name: str) -> None:
        if not name:
            self._grant(exchange)
            return
        self.calls["lease_keep"] += 1
        lease = self._leases.get(name)
        if lease is None:
            exchange.respond(404)
            return
        lease.timer.reset(lease.ttl_s)
        exchange.respond(200, name.encode())

    def _grant(self, exchange: web.Exchange) -> None:
        self.calls["lease_grant"] += 1
        try:
            ttl_s = exchange.request.get_number("ttl", 10)
        except ValueError:
            exchange.respond(400)
            return
        self._revision += 1
        name = str(self._revision)
        timer = self._clock.callLater(ttl_s, self._lapse, name)
        self._leases[name] = Lease(ttl_s, timer)
        exchange.respond(200, name.encode(), {"Lease": name})

    def _lapse(self, name: str) -> None:
        lease = self._leases.pop(name)
        if lease.timer.active():
            lease.timer.cancel()
        self.calls["lease_lapsed"] += 1
        for key, entry in list(self._entries.items()):
            if entry.lease == name:
                self._remove(key)
