"""Configuration trees for a run, each with a newly generated key."""

import pathlib
import shutil
import time

import attrs

from filbertlift_config import tokens
from filbertlift_harness import topology as topologies

FILE_NAME = "filbertlift.toml"
HAND_OVER_NAME = "hand-over.toml"
# Placeholder for the public key in the committed examples.
_KEY_TEXT = "<base64 Ed25519 public key>"
_TOKEN_LIFETIME_S = 3600


@attrs.frozen
class Tree:
    """A tree of operators' files in a temporary folder.

    Attributes:
        folder: root of the tree.
        token: token of the topology's caller.
    """

    folder: pathlib.Path
    token: str


def find_examples() -> pathlib.Path:
    """Returns the folder of the committed examples."""
    return pathlib.Path(__file__).resolve().parents[4] / "examples"


def write_example(topology: topologies.Topology, folder: pathlib.Path) -> Tree:
    """Copies a committed example and fills in a new key."""
    shutil.copytree(find_examples() / topology.name, folder)
    pair = tokens.generate_key()
    for path in sorted(folder.rglob(FILE_NAME)):
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace(_KEY_TEXT, pair.public_key))
    return Tree(folder, _sign(topology, pair))


def write_generated(
    topology: topologies.Topology, folder: pathlib.Path
) -> Tree:
    """Writes a minimal tree for a topology that has no example."""
    pair = tokens.generate_key()
    _write(
        folder / topology.caller,
        f'caller = "{topology.caller}"\n'
        f'[identity]\nkeys = ["{pair.public_key}"]\n',
    )
    for plan in topology.services:
        text = (
            f'service = "{plan.name}"\ncallers = ["{topology.caller}"]\n'
            f"slots = {plan.slots}\nconnections = {plan.connections}\n"
        )
        for operation in topology.operations:
            service, _, path = operation.path[1:].partition("/")
            if service == plan.name:
                text += _format_operation(operation.method, path, operation)
        _write(folder / plan.name, text)
    return Tree(folder, _sign(topology, pair))


def hand_over(topology: topologies.Topology, tree: Tree) -> None:
    """Adds the hand-over of the records to the file of their old service."""
    folder = tree.folder / topology.move.service
    fragment = (folder / HAND_OVER_NAME).read_text(encoding="utf-8")
    with open(folder / FILE_NAME, "a", encoding="utf-8") as file:
        file.write(fragment)


def change_queue(tree: Tree, service: str, queue: int) -> None:
    """Sets the key `queue` of a service: a small change to publish."""
    path = tree.folder / service / FILE_NAME
    lines = path.read_text(encoding="utf-8").splitlines()
    kept = [line for line in lines if not line.startswith("queue = ")]
    # Top-level keys must stand before the first table.
    kept.insert(1, f"queue = {queue}")
    path.write_text("\n".join(kept) + "\n", encoding="utf-8")


def _sign(topology: topologies.Topology, pair: tokens.KeyPair) -> str:
    return tokens.sign_token(
        pair.private_key, topology.caller, time.time(), _TOKEN_LIFETIME_S
    )


def _write(folder: pathlib.Path, text: str) -> None:
    folder.mkdir(parents=True)
    (folder / FILE_NAME).write_text(text, encoding="utf-8")


def _format_operation(method: str, path: str, operation: object) -> str:
    work_class = getattr(operation, "work_class", "counter")
    known = work_class in ("check", "counter", "long")
    prefix = path.partition("/{n}")[0]
    return (
        f'[[operations]]\nmethod = "{method}"\npath = "/{prefix}"\n'
        f'class = "{work_class if known else "counter"}"\n'
        f"idempotent = {'true' if method == 'GET' else 'false'}\n"
        f'deadline = "20s"\n'
    )
