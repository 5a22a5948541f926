"""Names of the keys in the store."""

from filbertlift_config import keys


def _make_key(cluster: str, *parts: str) -> str:
    return "/".join(("filbertlift", keys.check_name(cluster), *parts))


def head_key(cluster: str) -> str:
    """Returns the key of the head.

    Raises:
        ValueError: if the cluster's name is not allowed, as in all of these.
    """
    return _make_key(cluster, "head")


def tree_key(cluster: str, root: str) -> str:
    """Returns the key of the page hashes of the versions with this root."""
    return _make_key(cluster, "tree", root)


def page_key(cluster: str, digest: str) -> str:
    """Returns the key of a page."""
    return _make_key(cluster, "page", digest)


def section_key(cluster: str, digest: str) -> str:
    """Returns the key of a section."""
    return _make_key(cluster, "section", digest)


def roster_key(cluster: str, data_centre: str) -> str:
    """Returns the key of the roster of a data centre."""
    return _make_key(cluster, "roster", keys.check_name(data_centre))


def journal_key(cluster: str) -> str:
    """Returns the key of the parts that are to be deleted later."""
    return _make_key(cluster, "journal")
