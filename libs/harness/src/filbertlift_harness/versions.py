"""Checks of the versions that nodes report as in force."""

import attrs


@attrs.define
class VersionChecker:
    """Finds a node that returns to an older version, or a second content.

    Attributes:
        newest: the highest version seen at each node while it was ready.
        roots: the root of each version, at whichever node it was first seen.
        problems: one line for each broken guarantee.
    """

    newest: dict[str, int] = attrs.Factory(dict)
    roots: dict[int, str] = attrs.Factory(dict)
    problems: list[str] = attrs.Factory(list)

    def observe(self, node: str, version: int, root: str, ready: bool) -> None:
        """Takes what a node reports.

        A node that is not ready puts no version in force, so that it may
        report any.
        """
        if not ready:
            return
        before = self.newest.get(node, 0)
        if version < before:
            self.problems.append(
                f"{node} returned from version {before} to {version}"
            )
        self.newest[node] = max(before, version)
        known = self.roots.setdefault(version, root)
        if known != root:
            self.problems.append(
                f"version {version} has root {root} at {node}, {known} before"
            )
