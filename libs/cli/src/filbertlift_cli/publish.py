"""Command `publish`: submits a tree and reports what became of it."""

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

# Clean-up is a favour to the store; the operator does not wait long for it.
CLEANUP_LIMIT_S = 15.0


@attrs.frozen
class Options:
    """What the operator asked for.

    Attributes:
        root: top folder of the tree.
        store: URL of the store.
        cluster: name of the cluster.
        scope: flags that limit or extend the publication.
        publication: id; empty to draw one.
        node: address of a node's pages to wait for the version; or None.
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
    options: Options, shown: output.Output
) -> tuple[trees.Tree, planning.Base | None] | None:
    """Returns the tree and its base; None after printing every problem."""
    tree = trees.read_tree(options.root)
    if options.scope.only:
        problems = trees.locate(tree, list(tree.problems))
    else:
        problems = trees.check_tree(tree)
    recorded = None
    try:
        recorded = bases.read_base(options.root, options.cluster)
    except exceptions.FilbertliftError as error:
        problems.append(file.Problem(bases.BASE_NAME, 0, "", error.message))
    if not problems:
        return tree, recorded
    shown.print_problems(problems)
    shown.print_error(f"{len(problems)} problems; nothing was submitted")
    return None


@defer.inlineCallbacks
def run_publish(
    reactor: Any,
    options: Options,
    tree: trees.Tree,
    recorded: planning.Base | None,
    shown: output.Output,
) -> Any:
    """Publishes a tree without problems; returns the exit status."""
    store = http.make_http_store(reactor, options.store)
    known = intents.collect_known(tree)
    known.update(intents.collect_known_pages(recorded))
    shown.show_progress("reading the current version")
    try:
        loaded = yield retries.retry(
            lambda: snapshots.fetch_current(
                store, options.cluster, known=known
            ),
            reactor,
            random.Random(),
        )
    except exceptions.FilbertliftError as error:
        shown.print_error(f"rejected: nothing was submitted: {error}")
        return env.EXIT_REJECTED
    intent = intents.make_intent(tree, options.scope, recorded, loaded.snapshot)
    if intent.problems:
        shown.print_problems(intent.problems)
        shown.print_error(
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
    shown.show_progress(f"publishing {request.publication}")
    result = yield publisher.publish(store, request, reactor, random.Random())
    status = report_result(result, tree, shown)
    if not isinstance(result, publisher.Accepted):
        return status
    _record_base(options, recorded, intent, result, shown)
    if options.node is not None:
        limit = rollout.Limit(options.wait_limit_s)
        status = yield rollout.wait_for_version(
            reactor, options.node, result.version, limit, shown
        )
    yield _clean_up(reactor, store, options, result.version, shown)
    return status


def report_result(
    result: publisher.Result, tree: trees.Tree, shown: output.Output
) -> int:
    """Prints the result of a publication; returns the exit status."""
    if isinstance(result, publisher.Accepted):
        what = ", ".join(result.changed) or "nothing had to change"
        shown.print_line(f"accepted: version {result.version}: {what}")
        return env.EXIT_OK
    if isinstance(result, publisher.Rejected):
        shown.print_problems(trees.locate(tree, list(result.problems)))
        shown.print_error("rejected: nothing was published")
        return env.EXIT_REJECTED
    if isinstance(result, publisher.ConflictFound):
        shown.print_error(
            f"conflict: {', '.join(result.names)} changed between version "
            f"{result.base_version} and version {result.current_version}; "
            "nothing was published"
        )
        return env.EXIT_CONFLICT
    shown.print_error(
        f"unknown: publication {result.publication}: {result.advice}"
    )
    return env.EXIT_UNKNOWN


def _record_base(
    options: Options,
    recorded: planning.Base | None,
    intent: intents.Intent,
    result: publisher.Accepted,
    shown: output.Output,
) -> None:
    if recorded is None and options.scope.only:
        # A base file states every section of the tree, and a limited
        # publication says nothing of the others.
        return
    base = bases.advance_base(intent.base, intent.wanted, result.version)
    try:
        bases.write_base(options.root, base, options.cluster)
    except exceptions.FilbertliftError as error:
        shown.print_error(f"warning: {error}")


@defer.inlineCallbacks
def _clean_up(
    reactor: Any,
    store: Any,
    options: Options,
    version: int,
    shown: output.Output,
) -> Any:
    if not cleanup.is_due(version):
        return
    shown.show_progress("deleting old parts")
    try:
        cleaning = cleanup.clean_store(store, options.cluster, time.time())
        yield cleaning.addTimeout(CLEANUP_LIMIT_S, reactor)
    except (exceptions.FilbertliftError, defer.TimeoutError) as error:
        shown.show_progress(f"clean-up left to a later publication: {error}")
