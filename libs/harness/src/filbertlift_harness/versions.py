"""Checks the versions that nodes report as in force."""

import attrs


@attrs.define
class VersionChecker:
    """Finds a node that goes back in version, or a version with two contents.

    Attributes:
        newest: highest version that each node reported while it was ready.
        roots: root of each version as the first node reported it.
        problems: one line for each broken guarantee.
    """

    newest: dict[str, int] = attrs.Factory(dict)
    roots: dict[int, str] = attrs.Factory(dict)
    problems: list[str] = attrs.Factory(list)

    def observe(self, node: str, version: int, root: str, ready: bool) -> None:
        """Checks a report of a node.

        A node that is not ready has no version in force, so its report is
        ignored.
        """
        if not ready:
            return
        before = self.newest.get(node, 0)
        if version < before:
            self.problems.append(
                f"{node} went back from version {before} to {version}"
            )
        self.newest[node] = max(before, version)
        known = self.roots.setdefault(version, root)
        if known != root:
            self.problems.append(
                f"version {version} has root {root} at {node}, {known} before"
            )
