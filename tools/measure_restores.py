"""Prints the calls of hosts to a store that comes back from an older copy.

The registrations of all hosts run on a simulated clock against the store of the
soak, without a network: the store is away for a second, has lost the changes
and leases of the last ones, and some hosts have just saved a departure there.
"""

import collections
import random
from typing import Final
from typing import cast

import attrs
from twisted.internet import task
import typer

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_platform import store
from filbertlift_platform_fakes import store as fakes
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import registry
from filbertlift_sidecar import rejections
from filbertlift_soak import storepool
from filbertlift_standins import keyspace
from filbertlift_transport import client

DEFAULT_HOSTS: Final = [30, 100, 300]
PLACE: Final = model.Place("region", "data-centre")
# Share of the hosts whose target leaves before the loss.
LEAVING_SHARE: Final = 0.1
# Time between the copy and the outage, and that of the outage, in seconds.
COPY_AGE_S: Final = 5.0
AWAY_S: Final = 1.0
ANSWER_S: Final = 0.004
STEP_S: Final = 0.05
# Time in which calls are counted, in seconds.
COUNTED_S: Final = 10.0
# Time after which nothing more is written again in any case, in seconds.
LIMIT_S: Final = 1.5 * registry.RENEW_INTERVAL_S


@attrs.define(eq=False)
class Site:
    """A store and the registrations of its hosts.

    Attributes:
        calls: calls of the hosts by operation and result.
    """

    count: int
    clock: task.Clock = attrs.field(factory=task.Clock)
    calls: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    server: fakes.StoreServer = attrs.field(init=False)
    hosts: list[registry.Registry] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Builds the store and the hosts."""
        rng = random.Random(self.count)
        keys = keyspace.Keyspace(self.clock)
        self.server = fakes.StoreServer(self.clock, keys, rng)
        records = [_make_record(number) for number in range(self.count)]
        for record in records:
            self.hosts.append(self._make_host(record, records, rng))

    def run(self, seconds: float) -> None:
        """Lets time pass; all hosts hear of one another."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            if self.clock.seconds() % 1.0 < STEP_S:
                self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        now = self.clock.seconds()
        for host in self.hosts:
            for record in host.table.list_live(now):
                host.table.note_heard(record.address, now)

    def _make_host(
        self,
        record: directory.HostRecord,
        records: list[directory.HostRecord],
        rng: random.Random,
    ) -> registry.Registry:
        table = directory.Directory(record)
        table.merge_records(records, self.clock.seconds())
        log = eventlog.EventLog(self.clock.seconds, lambda _line: True)

        def deliver(delivery: storepool.Delivery) -> None:
            self.clock.callLater(ANSWER_S, delivery)

        pool = storepool.StorePool(self.server, deliver)

        def count(operation: str, result: str) -> None:
            self.calls[operation, result] += 1

        def note_store(has_store: bool) -> None:
            own = attrs.evolve(table.own, has_store=has_store)
            table.update_own(own)

        return registry.Registry(
            self.clock,
            store.make_store_of_pool(
                self.clock,
                cast(client.HttpPool, pool),
                count,
                lambda _key, _reason: None,
                lambda _era, _known: None,
            ),
            table,
            lambda _addresses: None,
            note_store,
            lambda _departed: None,
            log,
            random.Random(rng.random()),
            rejections.Rejections(log, lambda _event: None),
        )


def _make_record(number: int) -> directory.HostRecord:
    address = model.Address(f"10.0.{number // 250}.{1 + number % 250}", 7000)
    return directory.HostRecord(address, 1, 0, PLACE, False, None, True)


def measure(count: int) -> str:
    """Returns a line with the calls after a loss, for a number of hosts."""
    site = Site(count)
    for host in site.hosts:
        host.start()
    site.run(2.0)
    copy = site.server.keys.make_copy()
    leaving = site.hosts[: max(1, int(LEAVING_SHARE * count))]
    left = directory.TargetState.LEFT
    for number, host in enumerate(leaving):
        departed = directory.TargetRecord(f"i-{number}", 1, "", 0, left)
        host.save_departures([departed]).addErrback(lambda _reason: None)
    site.run(COPY_AGE_S)
    site.server.faults.outage = fakes.BUSY
    site.run(AWAY_S)
    site.server.faults.outage = ""
    site.server.restore(copy)
    site.calls.clear()
    saved_s = _wait_for(site, registry.DEPARTURE_PREFIX, len(leaving))
    site.run(max(0.0, COUNTED_S - saved_s))
    counted = dict(site.calls)
    writes = sum(
        number
        for (operation, _result), number in counted.items()
        if operation in ("grant", "put")
    )
    return (
        f"hosts={count} departures={len(leaving)} saved_s={saved_s:.1f}"
        f" calls_10s={sum(counted.values())} writes_10s={writes}"
        f" renewals_10s={counted.get(('keep', '200'), 0)}"
    )


def _wait_for(site: Site, prefix: str, number: int) -> float:
    """Returns the time until the store has that many keys, in seconds."""
    start = site.clock.seconds()
    while site.clock.seconds() - start < LIMIT_S:
        items, _more = site.server.keys.list_range(prefix, "")
        if len(items) >= number:
            break
        site.run(STEP_S)
    return site.clock.seconds() - start


def main(
    hosts: list[int] = typer.Argument(DEFAULT_HOSTS, help="Numbers of hosts."),
) -> None:
    """Prints one line for each number of hosts."""
    for count in hosts:
        print(measure(count), flush=True)


if __name__ == "__main__":
    typer.run(main)
