"""Tests of publication and clean-up with failures of the store."""

import random
from typing import Any

import pytest
from twisted.internet import task

from filbertlift_config import head as heads
from filbertlift_config import section as codec
from filbertlift_store import cleanup
from filbertlift_store import exceptions
from filbertlift_store import interface
from filbertlift_store import publisher
from filbertlift_store import snapshots

CLUSTER = "test"
HEAD = interface.head_key(CLUSTER)
SHORT_HISTORY = 4


def read_now(deferred: Any) -> Any:
    """Returns the result of a Deferred that has fired."""
    results: list[Any] = []
    deferred.addBoth(results.append)
    assert results, "the Deferred has not fired"
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


def make_section(name: str, slots: int) -> codec.Section:
    return codec.Section(name, slots=slots)


def publish_now(
    store: interface.Store, name: str, slots: int, publication: str
) -> Any:
    request = publisher.Request(
        CLUSTER, {name: make_section(name, slots)}, publication
    )
    clock = task.Clock()
    return read_now(publisher.publish(store, request, clock, random.Random(1)))


def run_to_end(fake: Any, clock: task.Clock, steps: int = 60) -> None:
    """Answers all calls while time passes."""
    for _ in range(steps):
        while fake.pending:
            fake.pending.pop(0).run()
        clock.advance(1)


def start_publication(fake: Any, clock: task.Clock, slots: int) -> list[Any]:
    """Starts a publication of service `a`, whose calls are held."""
    request = publisher.Request(CLUSTER, {"a": make_section("a", slots)}, "p")
    results: list[Any] = []
    publisher.publish(
        fake.make_store(fake.pending), request, clock, random.Random(1)
    ).addBoth(results.append)
    return results


def run_until_head_write(fake: Any) -> Any:
    """Answers the calls before the write of the head; returns that write."""
    while not (fake.pending[0].is_write and fake.pending[0].key == HEAD):
        fake.pending.pop(0).run()
    return fake.pending.pop(0)


def read_version(fake: Any) -> int:
    return heads.decode_head(fake.entries[HEAD].value).version


@pytest.mark.parametrize(
    "error", [exceptions.StoreUncertain("x"), exceptions.StoreConflict("x")]
)
def test_lost_answer_is_resolved_by_the_head(
    fake_store: Any, error: exceptions.StoreError
) -> None:
    """Guards against publishing again after an answer was lost."""
    clock = task.Clock()
    results = start_publication(fake_store, clock, 1)
    run_until_head_write(fake_store).lose(error)
    run_to_end(fake_store, clock)
    assert results == [publisher.Accepted(1)]
    assert read_version(fake_store) == 1


@pytest.mark.parametrize(
    "error", [exceptions.StoreUncertain("x"), exceptions.StoreConflict("x")]
)
def test_write_that_may_take_effect_is_not_reported_as_failure(
    fake_store: Any, error: exceptions.StoreError
) -> None:
    """Guards against reporting failure of a write that later takes effect."""
    clock = task.Clock()
    results = start_publication(fake_store, clock, 1)
    call = run_until_head_write(fake_store)
    call.answer.errback(error)
    for _ in range(100):
        while fake_store.pending:
            fake_store.pending.pop(0).refuse()
        clock.advance(5)
    call.apply()
    assert isinstance(results[0], publisher.Unsettled)
    assert (results[0].publication, results[0].version) == ("p", 1)


def test_outage_before_the_head_is_a_certain_failure(fake_store: Any) -> None:
    """Guards against reporting "unknown" when nothing can be published."""
    clock = task.Clock()
    results = start_publication(fake_store, clock, 1)
    for _ in range(100):
        while fake_store.pending:
            fake_store.pending.pop(0).refuse()
        clock.advance(5)
    assert isinstance(results[0], publisher.Rejected)


def test_write_older_than_the_history_stays_unsettled(
    fake_store: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against publishing twice once the version left the history."""
    monkeypatch.setattr(heads, "HISTORY_LENGTH", SHORT_HISTORY)
    clock = task.Clock()
    results = start_publication(fake_store, clock, 1)
    run_until_head_write(fake_store).lose(exceptions.StoreUncertain("x"))
    for number in range(SHORT_HISTORY):
        publish_now(fake_store.make_store(), "b", number + 1, f"b{number}")
    run_to_end(fake_store, clock)
    assert isinstance(results[0], publisher.Unsettled)


def fill_journal(fake: Any) -> interface.Store:
    """Publishes `a` with other slots until version 1 has left the history."""
    store = fake.make_store()
    for number in range(SHORT_HISTORY + 2):
        publish_now(store, "a", number + 1, f"a{number}")
        read_now(cleanup.clean_store(store, CLUSTER, 0))
    return store


@pytest.fixture
def short_history(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(heads, "HISTORY_LENGTH", SHORT_HISTORY)


def check_history(store: interface.Store) -> None:
    """Loads every version of the history."""
    head = heads.decode_head(read_now(store.get(HEAD)).value)
    for record in head.history:
        read_now(snapshots.fetch_version(store, CLUSTER, record))


@pytest.mark.usefixtures("short_history")
def test_clean_up_deletes_only_old_parts(fake_store: Any) -> None:
    """Guards against deleting parts in use and against keeping old ones."""
    store = fill_journal(fake_store)
    assert read_now(cleanup.clean_store(store, CLUSTER, 599)) == 0
    assert read_now(cleanup.clean_store(store, CLUSTER, 600)) == 2 * 3
    check_history(store)
    parts = [key for key in fake_store.entries if "/section/" in key]
    assert len(parts) == SHORT_HISTORY


def run_calls(calls: list[Any], count: int) -> None:
    """Answers calls in order, at most the given number."""
    while calls and count > 0:
        calls.pop(0).run()
        count -= 1


@pytest.mark.usefixtures("short_history")
@pytest.mark.parametrize("before", range(16))
def test_part_named_again_survives_clean_up(
    fake_store: Any, before: int
) -> None:
    """Guards against deleting a part that a concurrent publication names.

    The publication restores the first content of `a`. It pauses after some
    calls, the clean-up makes some of its own, the publication ends, and then
    the clean-up.
    """
    fill_journal(fake_store)
    prepared = dict(fake_store.entries)
    for between in range(50):
        fake_store.entries = dict(prepared)
        clock = task.Clock()
        results = start_publication(fake_store, clock, 1)
        run_calls(fake_store.pending, before)
        cleaning: list[Any] = []
        cleanup.clean_store(
            fake_store.make_store(cleaning), CLUSTER, 700
        ).addErrback(lambda reason: reason.trap(exceptions.StoreError))
        run_calls(cleaning, between)
        run_to_end(fake_store, clock)
        run_calls(cleaning, 1_000)
        assert isinstance(results[0], publisher.Accepted)
        check_history(fake_store.make_store())


@pytest.mark.usefixtures("short_history")
def test_versions_that_clean_up_missed_keep_their_parts(
    fake_store: Any,
) -> None:
    """Guards against deleting a part that an unnoted version names again."""
    store = fill_journal(fake_store)
    publish_now(store, "a", 1, "again")
    for number in range(SHORT_HISTORY + 1):
        publish_now(store, "b", number + 1, f"b{number}")
    read_now(cleanup.clean_store(store, CLUSTER, 700))
    check_history(store)
