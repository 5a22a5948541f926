"""Tests of the watch of the store."""

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
    """Answers watches when told to, and counts reads."""

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
    heard: list[tuple[int, float]] = []
    made = watcher.StoreWatcher(
        clock,
        store,
        "c",
        watcher.WatchEvents(
            lambda found, age: heard.append((found.version, age)),
            lambda version, age: heard.append((version, age)),
        ),
        lambda: base,
        random.Random(1),
    )
    return clock, store, made, heard


def test_head_that_a_watch_brought_is_not_read_again() -> None:
    """Guards against 8 KB more across the link for each change."""
    clock, store, made, heard = make_watcher(FIRST)
    made.start(0.0)
    clock.advance(0.7)
    store.watches[0].callback(ENTRY)
    assert not store.reads
    assert heard == [(1, 0.7)]


def test_age_counts_from_the_request() -> None:
    """Guards against an answer that was long under way and seems fresh."""
    clock, store, made, heard = make_watcher(FIRST)
    made.start(0.0)
    store.watches[0].callback(ENTRY)
    clock.advance(1.0)
    store.watches[1].callback(None)
    assert heard[-1] == (1, 1.0)


def test_second_gateway_waits_before_it_fetches() -> None:
    clock, store, made, heard = make_watcher(None)
    made.start(0.3)
    store.watches[0].callback(ENTRY)
    assert store.reads, "the first version is fetched at once"
    made.close()
    clock, store, made, heard = make_watcher(FIRST)
    made.start(0.3)
    store.watches[0].callback(ENTRY)
    store.watches[1].callback(attrs.evolve(ENTRY, revision=6))
    assert len(heard) == 1
    clock.advance(0.3)
    assert len(heard) == 2
