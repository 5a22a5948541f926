"""Publication: writes a version and determines whether it was accepted."""

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
        version: the version, or the current one when the wanted sections equal
            those of the base, so that nothing had to change.
        changed: names of the changed sections, sorted.
    """

    version: int
    changed: tuple[str, ...] = ()


@attrs.frozen
class Rejected:
    """Nothing was published, and nothing can take effect later.

    Attributes:
        problems: all reasons.
    """

    problems: tuple[file.Problem, ...]


@attrs.frozen
class ConflictFound:
    """Other publications changed the same sections; nothing was published.

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
    """It is not known whether the store accepted the publication.

    Attributes:
        publication: id of the publication.
        version: the version that it became if it was accepted.
        advice: what the operator can do to find out.
    """

    publication: str
    version: int
    advice: str


Result = Accepted | Rejected | ConflictFound | Unsettled


@attrs.frozen
class Request:
    """A publication to be made.

    Attributes:
        cluster: name of the cluster.
        wanted: the wanted section by name; None removes it.
        publication: id, a new one for each publication.
        base: what the wanted sections were made from; None for the version
            that the store has when the publication starts.
        known: encoded pages and sections by hash that need not be read.
    """

    cluster: str
    wanted: Mapping[str, codec.Section | None]
    publication: str
    base: planning.Base | None = None
    known: Mapping[str, bytes] = attrs.field(factory=dict)


@attrs.frozen
class _HeadWrite:
    """A write of the head that may or may not have taken effect.

    Attributes:
        revision: revision of the head that the write replaces.
        version: version that the write publishes.
    """

    revision: int
    version: int


@attrs.define
class _Progress:
    """State of one publication.

    Attributes:
        writer: writes the parts of the publication.
        base: what the wanted sections were made from, once it is known.
        pending_write: a write of the head that may still take effect.
        last_snapshot: the last version that was loaded.
        last_error: text of the last error.
    """

    writer: parts.PartWriter
    base: planning.Base | None
    pending_write: _HeadWrite | None = None
    last_snapshot: snapshot_types.Snapshot | None = None
    last_error: str = ""


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
            result = yield _try_publish(store, request, progress)
        except exceptions.StoreError as error:
            progress.last_error = str(error)
            result = None
        if result is not None:
            return result
        delay_s = retries.compute_delay(attempt, rng)
        if clock.seconds() - started + delay_s > retries.GIVE_UP_AFTER_S:
            break
        yield task.deferLater(clock, delay_s)
    return _give_up(request, progress)


@defer.inlineCallbacks
def _try_publish(
    store: interface.Store, request: Request, progress: _Progress
) -> Any:
    """Returns the result of one attempt, or None to try again."""
    loaded = yield snapshots.fetch_current(
        store, request.cluster, progress.last_snapshot, request.known
    )
    progress.last_snapshot = loaded.snapshot
    if progress.base is None:
        progress.base = planning.Base.from_snapshot(loaded.snapshot)
    result = determine_result(request.publication, progress, loaded)
    if result is not None:
        return result
    plan = planning.plan_publication(
        progress.base, loaded.snapshot, request.wanted, request.publication
    )
    if isinstance(plan, planning.Invalid):
        return _resolve_refusal(request, progress, Rejected(plan.problems))
    if isinstance(plan, planning.Conflict):
        conflict = ConflictFound(
            plan.names, plan.base_version, plan.current_version
        )
        return _resolve_refusal(request, progress, conflict)
    if not plan.changes:
        return Accepted(loaded.snapshot.version)
    yield progress.writer.write(loaded, plan.snapshot)
    accepted = Accepted(plan.snapshot.version, tuple(sorted(plan.changes)))
    written = yield _write_head(store, request, progress, loaded, plan.snapshot)
    return accepted if written else None


def determine_result(
    publication: str, progress: _Progress, loaded: snapshots.LoadedVersion
) -> Result | None:
    """Returns the result that follows from the head, or None if none does.

    An earlier write of the head can take effect only while the head has the
    revision that the write expects.
    """
    head = loaded.snapshot.head
    for record in head.history:
        if record.publication == publication:
            return Accepted(record.version)
    if (
        progress.pending_write is None
        or progress.pending_write.revision == loaded.revision
    ):
        return None
    if progress.pending_write.version <= head.version - heads.HISTORY_LENGTH:
        return _make_unsettled(publication, progress.pending_write)
    progress.pending_write = None
    return None


def _resolve_refusal(
    request: Request, progress: _Progress, result: Rejected | ConflictFound
) -> Result:
    """Returns the result, unless an earlier write may still take effect."""
    if progress.pending_write is None:
        return result
    return _make_unsettled(request.publication, progress.pending_write)


def _make_unsettled(publication: str, head_write: _HeadWrite) -> Unsettled:
    return Unsettled(
        publication,
        head_write.version,
        f"run `filbertlift history` and look for publication {publication} "
        f"at version {head_write.version}; to try again, publish with "
        f"--publication {publication}, which cannot apply it twice",
    )


def _give_up(request: Request, progress: _Progress) -> Result:
    if progress.pending_write is not None:
        return _make_unsettled(request.publication, progress.pending_write)
    reason = (
        f"nothing was published: {progress.last_error or 'too many conflicts'}"
    )
    return Rejected((file.Problem("store", 0, "", reason),))


@defer.inlineCallbacks
def _write_head(
    store: interface.Store,
    request: Request,
    progress: _Progress,
    loaded: snapshots.LoadedVersion,
    wanted: snapshot_types.Snapshot,
) -> Any:
    """Returns whether the head was written; raises if that is not known."""
    earlier = progress.pending_write
    progress.pending_write = _HeadWrite(loaded.revision, wanted.version)
    try:
        yield store.compare_and_swap(
            interface.head_key(request.cluster),
            loaded.revision,
            heads.encode_head(wanted.head),
        )
    except exceptions.StoreUnavailable:
        # This write was not sent, but an earlier one may still take effect.
        progress.pending_write = earlier
        raise
    except exceptions.StoreConflict as error:
        # The answer may be wrong; the next attempt reads the head to find out.
        progress.last_error = str(error)
        return False
    return True
