"""Checks that libraries import only those that they may depend on.

Also checks that names of the platform occur only in its adapter, and that no
further modules of a library import one another in a circle.
"""

import ast
from collections.abc import Mapping
import pathlib
import sys

# Libraries that each library may import besides itself.
ONLY_CORE = ("core",)
ALLOWED = {
    "core": (),
    "config": ONLY_CORE,
    "membership": ONLY_CORE,
    "distribution": ("core", "config"),
    "calls": ONLY_CORE,
    "mesh": ("core", "calls"),
    "wire": ONLY_CORE,
    "store": ("core", "config"),
    "transport": ("core", "wire"),
    "node": (
        "core",
        "config",
        "membership",
        "distribution",
        "calls",
        "wire",
        "store",
        "transport",
    ),
    "sidecar": ("core", "calls", "mesh", "store", "transport"),
    "cli": ("core", "config", "store"),
    "standins": ("core", "config", "transport"),
    "harness": ("core", "config", "store", "standins", "cli"),
    "soak": (
        "core",
        "mesh",
        "transport",
        "standins",
        "harness",
        "platform",
        "platform_fakes",
    ),
}
# Libraries of decisions, which must run without sockets and without clocks or
# random numbers of their own.
PURE_LIBRARIES = ("config", "membership", "distribution", "calls", "mesh")
FORBIDDEN_IN_PURE = ("twisted", "time", "socket", "asyncio", "threading")
PREFIX = "filbertlift_"
# The adapter to the users' platform, and fakes of the platform's side of its
# formats. Only the soak, which stands in for the platform, imports them.
ADAPTERS = {
    "platform": ("core", "mesh", "sidecar", "store", "transport"),
    "platform_fakes": ("core", "mesh", "standins"),
}
# Modules that import one another in a circle, some of them for types alone.
# They are to be split; no others may join them.
KNOWN_CIRCLES = {
    "mesh": {"expectation", "placement"},
    "node": {
        "dump",
        "entry",
        "flow",
        "node",
        "relay",
        "runs",
        "settlements",
    },
    "sidecar": {"entry", "flow"},
    "transport": {"callers", "server"},
}
# Names that the platform defines; only the adapter may use them.
PLATFORM_NAMES = (
    "Api-Key",
    "Caller-Service",
    "FILBERTLIFT_NODE_FILE",
    "Instances.",
    "Not-Executed",
    "Request-Deadline",
    "Response-Signature",
    "Target-Instance",
    "apiKeys",
    "coldRemainingMs",
    "durationS",
    "exposeShare",
    "heartbeatMs",
    "kv-",
    "op/config",
    "op/rollout",
    "portRange",
    "ratePerS",
    "routeType",
    "status/rollout",
    "targetVersion",
    "targetLatencyMs",
    "trafficSplit",
)


def find_imports(tree: ast.Module) -> list[tuple[int, str, str | None]]:
    """Returns (line, module, imported name or None) of each import."""
    found: list[tuple[int, str, str | None]] = []
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found += [(node.lineno, item.name, None) for item in node.names]
        if isinstance(node, ast.ImportFrom) and node.module:
            found += [
                (node.lineno, node.module, item.name) for item in node.names
            ]
    return found


def check_import(library: str, module: str, name: str | None) -> str | None:
    """Returns why an import is not allowed in a library, or None."""
    top = module.partition(".")[0]
    if library in PURE_LIBRARIES and top in FORBIDDEN_IN_PURE:
        return f"{library} is pure and must not import {top}"
    if not top.startswith(PREFIX):
        return None
    other = top.removeprefix(PREFIX)
    allowed = ADAPTERS.get(library) or ALLOWED[library]
    if other != library and other not in allowed:
        return f"{library} must not import {other}"
    if name is not None and module != top:
        return f"import the module {module}, not the name {name}"
    return None


def check_platform_names(path: pathlib.Path, text: str) -> list[str]:
    """Returns a problem for each name of the platform in a file."""
    return [
        f"{path}:{number}: {name!r} belongs in platform/"
        for number, line in enumerate(text.splitlines(), 1)
        for name in PLATFORM_NAMES
        if name in line
    ]


def read_graph(library: str, paths: list[pathlib.Path]) -> dict[str, set[str]]:
    """Returns the modules of a library that each of its modules imports."""
    graph: dict[str, set[str]] = {}
    for path in paths:
        tree = ast.parse(path.read_text(encoding="utf-8"))
        graph[path.stem] = {
            name
            for _line, module, name in find_imports(tree)
            if name and module == PREFIX + library
        }
    return {name: found & set(graph) for name, found in graph.items()}


def find_circles(graph: Mapping[str, set[str]]) -> set[str]:
    """Returns the modules that import themselves through others."""

    def list_reached(name: str) -> set[str]:
        reached: set[str] = set()
        pending = set(graph[name])
        while pending:
            other = pending.pop()
            reached.add(other)
            pending |= graph[other] - reached
        return reached

    return {name for name in graph if name in list_reached(name)}


def check_circles(library: str, paths: list[pathlib.Path]) -> list[str]:
    """Returns a problem for each module that differs from the known circles."""
    found = find_circles(read_graph(library, paths))
    known = KNOWN_CIRCLES.get(library, set())
    problems = [
        f"{library}: {name} is in a circle of imports"
        for name in sorted(found - known)
    ]
    return problems + [
        f"{library}: {name} is in no circle and is to leave KNOWN_CIRCLES"
        for name in sorted(known - found)
    ]


def check_file(library: str, path: pathlib.Path) -> list[str]:
    """Returns the problems of one file, one line each."""
    text = path.read_text(encoding="utf-8")
    tree = ast.parse(text)
    problems = []
    if library not in ADAPTERS:
        problems += check_platform_names(path, text)
    for line, module, name in find_imports(tree):
        reason = check_import(library, module, name)
        if reason is not None:
            problems.append(f"{path}:{line}: {reason}")
    return problems


def main() -> int:
    """Checks every library; returns the exit status."""
    top = pathlib.Path(__file__).resolve().parent.parent
    roots = {library: top / "libs" / library for library in ALLOWED}
    roots["soak"] = top / "soak"
    problems: list[str] = []
    for path in sorted((top / "platform").rglob("*.py")):
        is_package = path.parent.name.startswith(PREFIX)
        adapter = path.parent.name.removeprefix(PREFIX)
        problems += check_file(adapter if is_package else "platform", path)
    for library in sorted(ALLOWED):
        paths = sorted((roots[library] / "src").rglob("*.py"))
        for path in paths:
            problems += check_file(library, path)
        problems += check_circles(library, paths)
    print("\n".join(problems) or "import direction ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
