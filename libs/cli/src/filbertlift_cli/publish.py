"""Command `publish`: submits a tree and reports the result."""

import pathlib
import random
import time
from typing import Any
import uuid

import attrs
from twisted.internet import defer

from filbertlift_cli import base as bases
from filbertlift_cli import intent as intents
from filbertlift_cli import output
from filbertlift_cli import rollout
from filbertlift_cli import tree as trees
from filbertlift_config import file
from filbertlift_config import publication as planning
from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import model
from filbertlift_store import cleanup
from filbertlift_store import http
from filbertlift_store import publisher
from filbertlift_store import retries
from filbertlift_store import snapshots

# Clean-up can be left to a later publication, so the wait for it is short.
CLEANUP_LIMIT_S = 15.0


@attrs.frozen
class Options:
    """Options of the command.

    Attributes:
        root: top folder of the tree.
        store: URL of the store.
        cluster: name of the cluster.
        scope: flags that limit or extend the publication.
        publication: id of the publication; empty for a new one.
        node: address of a node's pages, which are used to wait until the
            version is in force everywhere; None for no wait.
        wait_limit_s: longest wait in seconds.
    """

    root: pathlib.Path
    store: str
    cluster: str
    scope: intents.Scope = intents.Scope()
    publication: str = ""
    node: model.Address | None = None
    wait_limit_s: float = 30.0


def load_tree(
    options: Options, out: output.Output
) -> tuple[trees.Tree, planning.Base | None] | None:
    """Returns the tree and its base.

    If there are problems, prints all of them and returns None.
    """
    tree = trees.read_tree(options.root)
    if options.scope.only:
        problems = trees.locate(tree, list(tree.problems))
    else:
        problems = trees.check_tree(tree)
    recorded_base = None
    try:
        recorded_base = bases.read_base(options.root, options.cluster)
    except exceptions.FilbertliftError as error:
        problems.append(file.Problem(bases.BASE_NAME, 0, "", error.message))
    if not problems:
        return tree, recorded_base
    out.print_problems(problems)
    out.print_error(f"{len(problems)} problems; nothing was submitted")
    return None


@defer.inlineCallbacks
def run_publish(
    reactor: Any,
    options: Options,
    tree: trees.Tree,
    recorded_base: planning.Base | None,
    out: output.Output,
) -> Any:
    """Publishes a tree without problems; returns the exit status."""
    store = http.make_http_store(reactor, options.store)
    known = intents.collect_known_sections(tree)
    known.update(intents.collect_known_pages(recorded_base))
    out.show_progress("reading the current version")
    try:
        loaded = yield retries.retry(
            lambda: snapshots.fetch_current(
                store, options.cluster, known=known
            ),
            reactor,
            random.Random(),
        )
    except exceptions.FilbertliftError as error:
        out.print_error(f"rejected: nothing was submitted: {error}")
        return env.EXIT_REJECTED
    intent = intents.make_intent(
        tree, options.scope, recorded_base, loaded.snapshot
    )
    if intent.problems:
        out.print_problems(intent.problems)
        out.print_error(
            f"rejected: {len(intent.problems)} problems; nothing was submitted"
        )
        return env.EXIT_REJECTED
    request = publisher.Request(
        options.cluster,
        intent.wanted,
        options.publication or str(uuid.uuid4()),
        intent.base,
        known,
    )
    out.show_progress(f"publishing {request.publication}")
    result = yield publisher.publish(store, request, reactor, random.Random())
    status = report_result(result, tree, out)
    if not isinstance(result, publisher.Accepted):
        return status
    _record_base(options, recorded_base, intent, result, out)
    if options.node is not None:
        limit = rollout.WaitLimit(options.wait_limit_s)
        status = yield rollout.wait_for_version(
            reactor, options.node, result.version, limit, out
        )
    yield _clean_up(reactor, store, options, result.version, out)
    return status


def report_result(
    result: publisher.Result, tree: trees.Tree, out: output.Output
) -> int:
    """Prints the result of a publication; returns the exit status."""
    if isinstance(result, publisher.Accepted):
        summary = ", ".join(result.changed) or "nothing had to change"
        out.print_line(f"accepted: version {result.version}: {summary}")
        return env.EXIT_OK
    if isinstance(result, publisher.Rejected):
        out.print_problems(trees.locate(tree, list(result.problems)))
        out.print_error("rejected: nothing was published")
        return env.EXIT_REJECTED
    if isinstance(result, publisher.ConflictFound):
        out.print_error(
            f"conflict: {', '.join(result.names)} changed between version "
            f"{result.base_version} and version {result.current_version}; "
            "nothing was published"
        )
        return env.EXIT_CONFLICT
    out.print_error(
        f"unknown: publication {result.publication}: {result.advice}"
    )
    return env.EXIT_UNKNOWN


def _record_base(
    options: Options,
    recorded_base: planning.Base | None,
    intent: intents.Intent,
    result: publisher.Accepted,
    out: output.Output,
) -> None:
    if recorded_base is None and options.scope.only:
        # A base file lists every section of the tree; a publication with
        # --only has no information about the others.
        return
    base = bases.advance_base(intent.base, intent.wanted, result.version)
    try:
        bases.write_base(options.root, base, options.cluster)
    except exceptions.FilbertliftError as error:
        out.print_error(f"warning: {error}")


@defer.inlineCallbacks
def _clean_up(
    reactor: Any,
    store: Any,
    options: Options,
    version: int,
    out: output.Output,
) -> Any:
    if not cleanup.is_due(version):
        return
    out.show_progress("deleting old parts")
    try:
        cleaning = cleanup.clean_store(store, options.cluster, time.time())
        yield cleaning.addTimeout(CLEANUP_LIMIT_S, reactor)
    except (exceptions.FilbertliftError, defer.TimeoutError) as error:
        out.show_progress(f"clean-up left to a later publication: {error}")
