"""Tests of watching the head at the store."""

import random

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_config import head
from filbertlift_config import section
from filbertlift_config import snapshot
from filbertlift_node import watcher
from filbertlift_store import interface

FIRST = snapshot.Snapshot.empty().advance(
    {"agents": section.Section(name="agents", kind="caller")}, "one"
)
ENTRY = interface.Entry(head.encode_head(FIRST.head), 5)


@attrs.define(eq=False)
class FakeStore:
    """A store that records reads; the test answers its watches."""

    reads: list[str] = attrs.field(factory=list)
    watches: list[defer.Deferred] = attrs.field(factory=list)

    def get(self, key):
        self.reads.append(key)
        return defer.Deferred()

    def watch(self, _key, _after, _wait):
        self.watches.append(defer.Deferred())
        return self.watches[-1]


def make_watcher(base):
    clock = task.Clock()
    store = FakeStore()
    reported: list[tuple[int, float]] = []
    made = watcher.StoreWatcher(
        clock,
        store,
        "c",
        watcher.WatchEvents(
            lambda found, age: reported.append((found.version, age)),
            lambda version, age: reported.append((version, age)),
        ),
        lambda: base,
        random.Random(1),
    )
    return clock, store, made, reported


def test_head_returned_by_a_watch_is_not_read_again() -> None:
    """Guards against 8 KB more traffic to the store for each change."""
    clock, store, made, reported = make_watcher(FIRST)
    made.start(0.0)
    clock.advance(0.7)
    store.watches[0].callback(ENTRY)
    assert not store.reads
    assert reported == [(1, 0.7)]


def test_age_counts_from_the_request() -> None:
    """Guards against an age that omits the delay of the answer."""
    clock, store, made, reported = make_watcher(FIRST)
    made.start(0.0)
    store.watches[0].callback(ENTRY)
    clock.advance(1.0)
    store.watches[1].callback(None)
    assert reported[-1] == (1, 1.0)


def test_second_gateway_waits_before_it_fetches() -> None:
    """Guards against both gateways fetching a version from the store."""
    clock, store, made, reported = make_watcher(None)
    made.start(0.3)
    store.watches[0].callback(ENTRY)
    assert store.reads, "the first version is fetched at once"
    made.close()
    clock, store, made, reported = make_watcher(FIRST)
    made.start(0.3)
    store.watches[0].callback(ENTRY)
    store.watches[1].callback(attrs.evolve(ENTRY, revision=6))
    assert len(reported) == 1
    clock.advance(0.3)
    assert len(reported) == 2
