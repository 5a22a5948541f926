"""Publication: writes a version and learns for certain whether it holds."""

from collections.abc import Mapping
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_config import file
from filbertlift_config import head as heads
from filbertlift_config import publication as planning
from filbertlift_config import section as codec
from filbertlift_config import snapshot as snapshot_types
from filbertlift_store import exceptions
from filbertlift_store import interface
from filbertlift_store import parts
from filbertlift_store import retries
from filbertlift_store import snapshots

MAX_ATTEMPTS: Final = 40


@attrs.frozen
class Accepted:
    """The publication is part of a version.

    Attributes:
        version: the version, or the current one when the wanted sections are
            those of the base, so that nothing had to change.
        changed: names of the changed sections, sorted.
    """

    version: int
    changed: tuple[str, ...] = ()


@attrs.frozen
class Rejected:
    """Nothing was published, and nothing will be.

    Attributes:
        problems: every reason.
    """

    problems: tuple[file.Problem, ...]


@attrs.frozen
class ConflictFound:
    """Others changed the same sections; nothing was published.

    Attributes:
        names: names of these sections, sorted.
        base_version: version that the publisher started from.
        current_version: version that the store has.
    """

    names: tuple[str, ...]
    base_version: int
    current_version: int


@attrs.frozen
class Unsettled:
    """The store did not tell whether the publication was accepted.

    Attributes:
        publication: id of the publication.
        version: version that it has if it was accepted.
        how: what the operator can do to find out.
    """

    publication: str
    version: int
    how: str


Result = Accepted | Rejected | ConflictFound | Unsettled


@attrs.frozen
class Request:
    """What is to be published.

    Attributes:
        cluster: name of the cluster.
        wanted: the wanted section by name; None removes it.
        publication: id, drawn anew for each publication.
        base: what the wanted sections were made from; None for the version
            that the store has when the publication starts.
        known: encoded pages and sections by hash that need no reading.
    """

    cluster: str
    wanted: Mapping[str, codec.Section | None]
    publication: str
    base: planning.Base | None = None
    known: Mapping[str, bytes] = attrs.field(factory=dict)


@attrs.frozen
class _Attempt:
    """A write of the head whose effect is not known."""

    revision: int
    version: int


@attrs.define
class _Progress:
    """State of one publication.

    Attributes:
        base: what the wanted sections were made from, once it is known.
        open: a write of the head that may still take effect.
        held: the last version that was loaded.
        trouble: what last went wrong.
    """

    writer: parts.PartWriter
    base: planning.Base | None
    open: _Attempt | None = None
    held: snapshot_types.Snapshot | None = None
    trouble: str = ""


@defer.inlineCallbacks
def publish(
    store: interface.Store,
    request: Request,
    clock: Any,
    rng: random.Random,
) -> Any:
    """Publishes and returns the `Result`; the Deferred does not fail.

    Args:
        store: the store.
        request: what is to be published.
        clock: a reactor or a clock with `seconds` and `callLater`.
        rng: random numbers for the delays.
    """
    writer = parts.PartWriter(store, request.cluster)
    progress = _Progress(writer, request.base)
    started = clock.seconds()
    for attempt in range(MAX_ATTEMPTS):
        try:
            result = yield _attempt(store, request, progress)
        except exceptions.StoreError as error:
            progress.trouble = str(error)
            result = None
        if result is not None:
            return result
        delay_s = retries.compute_delay(attempt, rng)
        if clock.seconds() - started + delay_s > retries.GIVE_UP_AFTER_S:
            break
        yield task.deferLater(clock, delay_s)
    return _give_up(request, progress)


@defer.inlineCallbacks
def _attempt(
    store: interface.Store, request: Request, progress: _Progress
) -> Any:
    """Returns the result of one attempt, or None to try again."""
    loaded = yield snapshots.fetch_current(
        store, request.cluster, progress.held, request.known
    )
    progress.held = loaded.snapshot
    if progress.base is None:
        progress.base = planning.Base.from_snapshot(loaded.snapshot)
    settled = settle(request.publication, progress, loaded)
    if settled is not None:
        return settled
    plan = planning.plan_publication(
        progress.base, loaded.snapshot, request.wanted, request.publication
    )
    if isinstance(plan, planning.Invalid):
        return _refuse(request, progress, Rejected(plan.problems))
    if isinstance(plan, planning.Conflict):
        found = ConflictFound(
            plan.names, plan.base_version, plan.current_version
        )
        return _refuse(request, progress, found)
    if not plan.changes:
        return Accepted(loaded.snapshot.version)
    yield progress.writer.write(loaded, plan.snapshot)
    accepted = Accepted(plan.snapshot.version, tuple(sorted(plan.changes)))
    written = yield _write_head(store, request, progress, loaded, plan.snapshot)
    return accepted if written else None


def settle(
    publication: str, progress: _Progress, loaded: snapshots.Loaded
) -> Result | None:
    """Returns the result that the head proves, or None when none is proved.

    An earlier write of the head can still take effect while the head has the
    revision that the write expects; after that it cannot.
    """
    head = loaded.snapshot.head
    for record in head.history:
        if record.publication == publication:
            return Accepted(record.version)
    if progress.open is None or progress.open.revision == loaded.revision:
        return None
    if progress.open.version <= head.version - heads.HISTORY_LENGTH:
        return _describe_open(publication, progress.open)
    progress.open = None
    return None


def _refuse(
    request: Request, progress: _Progress, result: Rejected | ConflictFound
) -> Result:
    """Returns the result, unless an earlier write may still take effect."""
    if progress.open is None:
        return result
    return _describe_open(request.publication, progress.open)


def _describe_open(publication: str, attempt: _Attempt) -> Unsettled:
    return Unsettled(
        publication,
        attempt.version,
        f"run `filbertlift history` and look for publication {publication} "
        f"at version {attempt.version}; to try again, publish with "
        f"--publication {publication}, which cannot apply it twice",
    )


def _give_up(request: Request, progress: _Progress) -> Result:
    if progress.open is not None:
        return _describe_open(request.publication, progress.open)
    reason = f"nothing was published: {progress.trouble or 'too many races'}"
    return Rejected((file.Problem("store", 0, "", reason),))


@defer.inlineCallbacks
def _write_head(
    store: interface.Store,
    request: Request,
    progress: _Progress,
    loaded: snapshots.Loaded,
    wanted: snapshot_types.Snapshot,
) -> Any:
    """Returns whether the head was written; raises when that is not known."""
    earlier = progress.open
    progress.open = _Attempt(loaded.revision, wanted.version)
    try:
        yield store.compare_and_swap(
            interface.head_key(request.cluster),
            loaded.revision,
            heads.encode_head(wanted.head),
        )
    except exceptions.StoreUnavailable:
        # This write was not sent, but an earlier one may still take effect.
        progress.open = earlier
        raise
    except exceptions.StoreConflict as error:
        # The answer may be wrong; the head tells at the next attempt.
        progress.trouble = str(error)
        return False
    return True
