"""Checks that the libraries import one another in one direction only."""

import ast
import pathlib
import sys

# Each library may import the libraries listed for it and itself.
PURE = ("core",)
ALLOWED = {
    "core": (),
    "config": PURE,
    "membership": PURE,
    "distribution": ("core", "config"),
    "calls": PURE,
    "mesh": ("core", "calls"),
    "wire": PURE,
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
# Decisions must run without sockets, clocks or random numbers of their own.
PURE_LIBRARIES = ("config", "membership", "distribution", "calls", "mesh")
FORBIDDEN_IN_PURE = ("twisted", "time", "socket", "asyncio", "threading")
PREFIX = "filbertlift_"
# The adapter to the users' platform, and the platform's own side of its
# formats; only the soak, which plays the platform's part, imports them.
ADAPTERS = {
    "platform": ("core", "mesh", "sidecar", "store", "transport"),
    "platform_fakes": ("core", "mesh", "standins"),
}
# Names of the platform, which belong into the adapter alone.
ADAPTER_NAMES = (
    "Caller-Service",
    "FILBERTLIFT_NODE_FILE",
    "Instances.",
    "Not-Executed",
    "Request-Deadline",
    "Response-Signature",
    "Target-Instance",
    "coldRemainingMs",
    "heartbeatMs",
    "kv-",
    "op/config",
    "portRange",
    "routeType",
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
    """Returns why a library may not have this import, or None."""
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


def check_names(path: pathlib.Path, text: str) -> list[str]:
    """Returns the lines outside the adapter with names of the platform."""
    return [
        f"{path}:{number}: {name!r} belongs into platform/"
        for number, line in enumerate(text.splitlines(), 1)
        for name in ADAPTER_NAMES
        if name in line
    ]


def check_file(library: str, path: pathlib.Path) -> list[str]:
    """Returns the refused imports of one file, one line each."""
    text = path.read_text(encoding="utf-8")
    tree = ast.parse(text)
    problems = []
    if library not in ADAPTERS:
        problems += check_names(path, text)
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
        for path in sorted((roots[library] / "src").rglob("*.py")):
            problems += check_file(library, path)
    print("\n".join(problems) or "import direction ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
