"""State machine of concurrent publications over a store that fails."""

import contextlib
import random
from typing import Any

import attrs
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from twisted.internet import task

from filbertlift_config import head as heads
from filbertlift_config import publication as planning
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


@attrs.define
class Operator:
    """One publication of the state machine and its result."""

    publication: str
    base: planning.Base
    wanted: dict[str, codec.Section | None]
    results: list[Any] = attrs.field(factory=list)


@attrs.define
class Oracle:
    """The expected state, derived from the writes of the head.

    The lists have an item for each version, from 0.

    Attributes:
        operators: publications by id.
        models: sections by name.
        accepted: version by publication.
        changes: names of the changed sections.
    """

    operators: dict[str, Operator] = attrs.field(factory=dict)
    models: list[dict[str, codec.Section]] = attrs.field(factory=lambda: [{}])
    accepted: dict[str, int] = attrs.field(factory=dict)
    changes: list[set[str]] = attrs.field(factory=lambda: [set()])

    def observe(self, key: str, value: bytes) -> None:
        if key != HEAD:
            return
        head = heads.decode_head(value)
        if head.version == len(self.models) - 1:
            return  # Clean-up writes the head unchanged.
        assert head.version == len(self.models), "a version was skipped"
        assert head.publication not in self.accepted, "accepted twice"
        self.accepted[head.publication] = head.version
        operator = self.operators[head.publication]
        model = dict(self.models[-1])
        changed = set()
        for name, section in operator.wanted.items():
            if _hash(section) == operator.base.get_hash(name):
                continue
            changed.add(name)
            model.pop(name, None)
            if section is not None:
                model[name] = section
        self.models.append(model)
        self.changes.append(changed)

    def find_concurrent_changes(
        self, operator: Operator, name: str, until: int
    ) -> list[int]:
        """Returns the versions since the base that changed a section."""
        start = operator.base.version + 1
        return [v for v in range(start, until) if name in self.changes[v]]

    def check_result(self, operator: Operator, result: Any) -> None:
        version = self.accepted.get(operator.publication)
        if isinstance(result, publisher.Accepted):
            unchanged = not any(
                _hash(section) != operator.base.get_hash(name)
                for name, section in operator.wanted.items()
            )
            assert version == result.version or (version is None and unchanged)
        elif isinstance(result, publisher.ConflictFound):
            assert version is None, "conflict reported, but accepted"
            for name in result.names:
                until = result.current_version + 1
                assert self.find_concurrent_changes(operator, name, until), name
        elif isinstance(result, publisher.Rejected):
            assert version is None, "failure reported, but accepted"

    def check_overwrites(self) -> None:
        """Checks that no publication overwrote a change its base lacked."""
        for publication, version in self.accepted.items():
            operator = self.operators[publication]
            for name in self.changes[version]:
                assert not self.find_concurrent_changes(operator, name, version)


def _hash(section: codec.Section | None) -> str | None:
    if section is None:
        return None
    return codec.hash_bytes(codec.encode_section(section))


class PublicationMachine(stateful.RuleBasedStateMachine):
    """Concurrent operators, lost answers, outages, clean-up, slow readers."""

    fake_type: Any = None

    def __init__(self) -> None:
        super().__init__()
        self.clock = task.Clock()
        self.rng = random.Random(7)
        self.oracle = Oracle()
        self.fake = self.fake_type(on_write=self.oracle.observe)
        self.held = self.fake.make_store(self.fake.pending)
        self.direct = self.fake.make_store()
        self.delayed: list[Any] = []
        self.reads: list[Any] = []
        self.now_s = 0.0
        self.checked = (0, 0)

    @stateful.rule(
        slots=st.dictionaries(
            st.sampled_from("abc"),
            st.none() | st.integers(1, 3),
            min_size=1,
            max_size=2,
        ),
        age=st.integers(0, 2),
    )
    def start_publication(self, slots: dict[str, int | None], age: int) -> None:
        """An operator publishes a tree that is based on a recent version."""
        busy = [o for o in self.oracle.operators.values() if not o.results]
        if len(busy) < 3:
            self.publish(self.held, slots, age)

    def publish(
        self, store: Any, slots: dict[str, int | None], age: int
    ) -> None:
        publication = f"p{len(self.oracle.operators)}"
        wanted = {
            name: None if count is None else make_section(name, count)
            for name, count in slots.items()
        }
        operator = Operator(publication, self.make_base(age), wanted)
        self.oracle.operators[publication] = operator
        request = publisher.Request(CLUSTER, wanted, publication, operator.base)
        publisher.publish(store, request, self.clock, self.rng).addBoth(
            operator.results.append
        )

    @stateful.rule(
        changes=st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(1, 2)),
            min_size=1,
            max_size=SHORT_HISTORY + 1,
        )
    )
    def publish_at_once(self, changes: list[tuple[str, int]]) -> None:
        """Other operators publish while the pending calls wait."""
        for name, count in changes:
            self.publish(self.direct, {name: count}, 0)

    @stateful.rule()
    def fail_until_give_up(self) -> None:
        """An outage lasts until every publisher gives up."""
        for _ in range(30):
            calls, self.fake.pending[:] = list(self.fake.pending), []
            for call in calls:
                call.refuse()
            self.clock.advance(5)

    def make_base(self, age: int) -> planning.Base:
        entry = self.fake.entries.get(HEAD)
        if entry is None:
            return planning.Base(0, {})
        history = heads.decode_head(entry.value).history
        record = history[max(0, len(history) - 1 - age)]
        parts = read_now(snapshots.fetch_version(self.direct, CLUSTER, record))
        entries = {}
        for page in parts.pages:
            entries.update(page.entries)
        return planning.Base(record.version, entries)

    def take_call(self, index: int) -> Any:
        if not self.fake.pending:
            return None
        return self.fake.pending.pop(index % len(self.fake.pending))

    @stateful.rule(count=st.integers(1, 30))
    def run_calls(self, count: int) -> None:
        """The store works; calls are answered in order."""
        for _ in range(count):
            call = self.take_call(0)
            if call is not None:
                call.run()

    @stateful.rule(index=st.integers(0, 20))
    def run_call(self, index: int) -> None:
        """The store answers a call out of order."""
        call = self.take_call(index)
        if call is not None:
            call.run()

    def find_head_write(self) -> int:
        """Answers calls until a write of the head is pending.

        Returns its index, or 0 if there is none.
        """
        for _ in range(60):
            for index, call in enumerate(self.fake.pending):
                if call.is_write and call.key == HEAD:
                    return index
            self.run_calls(1)
            self.clock.advance(0.5)
        return 0

    @stateful.rule(reports_conflict=st.booleans())
    def lose_head_answer(self, reports_conflict: bool) -> None:
        """A write of the head takes effect, but an error is reported."""
        self.lose_answer(self.find_head_write(), reports_conflict)

    @stateful.rule()
    def delay_head_write(self) -> None:
        """A write of the head times out and takes effect later."""
        self.delay_call(self.find_head_write())

    @stateful.rule(index=st.integers(0, 20), reports_conflict=st.booleans())
    def lose_answer(self, index: int, reports_conflict: bool) -> None:
        """A call takes effect, but an error is reported."""
        call = self.take_call(index)
        if call is None:
            return
        error = exceptions.StoreUncertain("lost")
        if reports_conflict and call.is_write:
            error = exceptions.StoreConflict("reported wrongly")
        call.lose(error)

    @stateful.rule(index=st.integers(0, 20))
    def delay_call(self, index: int) -> None:
        """A call times out and takes effect later."""
        call = self.take_call(index)
        if call is None:
            return
        self.delayed.append(call.apply)
        call.answer.errback(exceptions.StoreUncertain("timeout"))

    @stateful.rule(index=st.integers(0, 20))
    def apply_delayed_call(self, index: int) -> None:
        """A call that timed out takes effect, perhaps after its retry."""
        if not self.delayed:
            return
        with contextlib.suppress(exceptions.StoreError):
            self.delayed.pop(index % len(self.delayed))()

    @stateful.rule()
    def refuse_calls(self) -> None:
        """The store refuses all pending calls."""
        calls, self.fake.pending[:] = list(self.fake.pending), []
        for call in calls:
            call.refuse()

    @stateful.rule(seconds=st.floats(0.01, 20))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @stateful.rule(now=st.sampled_from([0, 300, 700]))
    def start_clean_up(self, now: int) -> None:
        """Clean-up starts; its calls are concurrent with all others."""
        self.now_s += now
        cleanup.clean_store(self.held, CLUSTER, self.now_s).addErrback(
            lambda reason: reason.trap(exceptions.StoreError)
        )

    @stateful.rule(now=st.sampled_from([0, 700]))
    def clean_at_once(self, now: int) -> None:
        """Clean-up runs while the pending calls wait."""
        self.now_s += now
        with contextlib.suppress(exceptions.StoreError):
            read_now(cleanup.clean_store(self.direct, CLUSTER, self.now_s))

    @stateful.rule()
    def start_reader(self) -> None:
        """A node loads the version while other calls continue."""
        read = snapshots.fetch_snapshot(self.held, CLUSTER)
        read.addCallbacks(
            self.check_read, lambda reason: reason.trap(exceptions.StoreError)
        )

    def check_read(self, snapshot: Any) -> None:
        if snapshot is not None:
            assert (
                dict(snapshot.sections) == self.oracle.models[snapshot.version]
            )
        self.reads.append(snapshot)

    @stateful.invariant()
    def check_every_version(self) -> None:
        """Every version of the history can be loaded and is as expected."""
        entry = self.fake.entries.get(HEAD)
        state = (self.fake.revision, len(self.fake.entries))
        if entry is None or state == self.checked:
            return
        self.checked = state
        for record in heads.decode_head(entry.value).history:
            parts = read_now(
                snapshots.fetch_version(self.direct, CLUSTER, record)
            )
            assert dict(parts.sections) == self.oracle.models[record.version]

    def teardown(self) -> None:
        """The store works again; every publication ends with a true result."""
        for _ in range(200):
            while self.fake.pending:
                self.run_calls(10)
            self.clock.advance(3)
        while self.delayed:
            self.apply_delayed_call(0)
        for operator in self.oracle.operators.values():
            assert operator.results, "a publication did not end"
            assert isinstance(operator.results[0], publisher.Result)
            self.oracle.check_result(operator, operator.results[0])
        self.oracle.check_overwrites()
        self.check_every_version()


def test_concurrent_publications_report_correct_results(
    monkeypatch: pytest.MonkeyPatch, fake_store_type: type
) -> None:
    """Guards against double, lost and wrongly reported publications.

    The history is limited to 4 versions, so that clean-up has parts to delete.
    """
    monkeypatch.setattr(heads, "HISTORY_LENGTH", SHORT_HISTORY)
    monkeypatch.setattr(PublicationMachine, "fake_type", fake_store_type)
    stateful.run_state_machine_as_test(PublicationMachine)
