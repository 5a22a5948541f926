"""Base file: the published version of each section that a tree is based on.

`filbertlift.base` is in the top folder of the tree and belongs in version
control with it. It distinguishes a section that the operator changed from one
that others have published since.
"""

from collections.abc import Mapping
import json
import os
import pathlib
from typing import Any
from typing import Final

from filbertlift_config import exceptions
from filbertlift_config import page as paging
from filbertlift_config import publication as planning
from filbertlift_config import scalars
from filbertlift_config import section as codec
from filbertlift_core import exceptions as core_exceptions

BASE_NAME: Final = "filbertlift.base"
MAX_BASE_BYTES: Final = 4_000_000


class BaseFileError(core_exceptions.FilbertliftError):
    """The base file cannot be used."""

    code = "FL-BASE-FILE"


def read_base(root: pathlib.Path, cluster: str) -> planning.Base | None:
    """Returns the base of a tree, or None if the tree has no base file.

    Raises:
        BaseFileError: if the file cannot be read, is not valid or is for
            another cluster.
    """
    path = root / BASE_NAME
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise BaseFileError(f"{path}: {error.strerror}") from error
    try:
        return decode_base(data, cluster)
    except exceptions.SnapshotError as error:
        raise BaseFileError(f"{path}: {error.message}") from error


def decode_base(data: bytes, cluster: str) -> planning.Base:
    """Returns the base that a base file holds; raises SnapshotError."""
    content = codec.decode_object(
        data, MAX_BASE_BYTES, exceptions.SnapshotError
    )
    if content.get("cluster") != cluster:
        raise exceptions.SnapshotError(
            f"is for cluster {content.get('cluster')!r}, not {cluster!r}"
        )
    version = content.get("version")
    if version != 0:
        version = scalars.check_version(version)
    return planning.Base(version, _decode_entries(content.get("sections")))


def _decode_entries(rows: Any) -> dict[str, paging.Entry]:
    if not isinstance(rows, dict):
        raise exceptions.SnapshotError("has no sections")
    entries = {}
    for name, row in rows.items():
        if not isinstance(row, list) or len(row) != 2:
            raise exceptions.SnapshotError(f"{name!r} has no hash and version")
        entries[scalars.check_name(name)] = paging.make_entry(row[0], row[1])
    return entries


def encode_base(base: planning.Base, cluster: str) -> bytes:
    """Returns the bytes of a base file, indented so that diffs are readable."""
    content = {
        "cluster": cluster,
        "version": base.version,
        "sections": {
            name: [entry.hash, entry.version]
            for name, entry in base.entries.items()
        },
    }
    text = json.dumps(content, sort_keys=True, indent=1)
    return text.encode("ascii") + b"\n"


def write_base(root: pathlib.Path, base: planning.Base, cluster: str) -> None:
    """Replaces the base file of a tree atomically.

    Raises:
        BaseFileError: if it cannot be written.
    """
    path = root / BASE_NAME
    temporary_path = root / (BASE_NAME + ".new")
    try:
        temporary_path.write_bytes(encode_base(base, cluster))
        os.replace(temporary_path, path)
    except OSError as error:
        raise BaseFileError(f"{path}: {error.strerror}") from error


def advance_base(
    base: planning.Base,
    wanted: Mapping[str, codec.Section | None],
    version: int,
) -> planning.Base:
    """Returns the base after the wanted sections were accepted.

    Sections that others changed keep their old entry, because the files of the
    tree do not have that change.
    """
    entries = dict(base.entries)
    for name, section in wanted.items():
        if section is None:
            if base.get_hash(name) is not None:
                entries[name] = paging.Entry(paging.REMOVED_HASH, version)
            continue
        digest = codec.hash_bytes(codec.encode_section(section))
        if base.get_hash(name) != digest:
            entries[name] = paging.Entry(digest, version)
    return planning.Base(version, entries)
