"""A fake store whose calls a test carries out one by one."""

from collections.abc import Callable
import contextlib
from typing import Any

import attrs
import pytest
from twisted.internet import defer

from filbertlift_store import exceptions
from filbertlift_store import interface


@attrs.define(eq=False)
class Call:
    """A call that the store has not carried out yet."""

    key: str
    apply: Callable[[], Any]
    answer: defer.Deferred[Any]
    is_write: bool

    def run(self) -> None:
        """Carries out the call and answers."""
        try:
            result = self.apply()
        except exceptions.StoreError as error:
            self.answer.errback(error)
            return
        self.answer.callback(result)

    def lose(self, error: exceptions.StoreError) -> None:
        """Carries out the call but answers with an error."""
        with contextlib.suppress(exceptions.StoreError):
            self.apply()
        self.answer.errback(error)

    def refuse(self) -> None:
        """Fails as a call that was not sent."""
        self.answer.errback(exceptions.StoreUnavailable(self.key))


@attrs.define(eq=False)
class FakeStore:
    """A store in memory; a held call waits until the test carries it out."""

    entries: dict[str, interface.Entry] = attrs.field(factory=dict)
    pending: list[Call] = attrs.field(factory=list)
    on_write: Callable[[str, bytes], None] = lambda _key, _value: None
    revision: int = 0
    reads: int = 0

    def make_store(self, held: list[Call] | None = None) -> interface.Store:
        """Returns a store that answers calls at once or adds them to `held`."""

        def make_call(
            key: str, apply: Callable[[], Any], is_write: bool
        ) -> Any:
            call = Call(key, apply, defer.Deferred(), is_write)
            if held is None:
                call.run()
            else:
                held.append(call)
            return call.answer

        return interface.Store(
            get=lambda key: make_call(key, lambda: self.read(key), False),
            compare_and_swap=lambda key, revision, value: make_call(
                key, lambda: self.swap(key, revision, value), True
            ),
            delete=lambda key, revision: make_call(
                key, lambda: self.remove(key, revision), True
            ),
            grant_lease=lambda _ttl: make_call("", lambda: "lease", True),
            keep_lease=lambda _lease: make_call("", lambda: None, True),
            put_leased=lambda key, value, _lease: make_call(
                key, lambda: self.put(key, value), True
            ),
            watch=lambda key, _after, _wait: make_call(
                key, lambda: self.read(key), False
            ),
        )

    def read(self, key: str) -> interface.Entry | None:
        self.reads += 1
        return self.entries.get(key)

    def put(self, key: str, value: bytes) -> int:
        self.revision += 1
        self.entries[key] = interface.Entry(value, self.revision)
        self.on_write(key, value)
        return self.revision

    def check(self, key: str, revision: int) -> None:
        held = self.entries.get(key)
        if (held.revision if held is not None else 0) != revision:
            raise exceptions.StoreConflict(key)

    def swap(self, key: str, revision: int, value: bytes) -> int:
        self.check(key, revision)
        return self.put(key, value)

    def remove(self, key: str, revision: int) -> None:
        if key in self.entries:
            self.check(key, revision)
            del self.entries[key]


@pytest.fixture
def fake_store() -> FakeStore:
    """Returns an empty store."""
    return FakeStore()


@pytest.fixture(scope="session")
def fake_store_type() -> type[FakeStore]:
    """Returns the class, for state machines that create their own store."""
    return FakeStore
