"""Mutation checks: injects known faults and checks that a test finds each.

`python tools/check_mutations.py [name ...]` runs the named faults, or all. A
fault is a text patch of one module in a temporary copy of its library; the test
file runs with that copy first in the path. A fault counts as found only if an
assertion of the test fails or the library raises one of its own errors. An
import error or a crash of the patch itself does not count.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import Final

import faults

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
# The longest test takes about 60 s.
TEST_TIMEOUT_S: Final = 300
# Exit status of pytest when tests ran and failed; with 2 and more, they did not
# run.
TESTS_FAILED: Final = 1


def apply_fault(fault: faults.Fault, folder: pathlib.Path) -> pathlib.Path:
    """Patches a copy of the library and returns its source folder.

    Raises:
        ValueError: if the old text does not occur exactly once.
    """
    source = folder / "src"
    shutil.copytree(ROOT / "libs" / fault.library / "src", source)
    package = source / f"filbertlift_{fault.library}"
    path = package / f"{fault.module}.py"
    text = path.read_text(encoding="utf-8")
    count = text.count(fault.old)
    if count != 1:
        raise ValueError(
            f"{fault.name}: the old text occurs {count} times in {path.name}"
        )
    path.write_text(text.replace(fault.old, fault.new), encoding="utf-8")
    return source


def run_test(test: str, source: pathlib.Path) -> tuple[int, str]:
    """Runs one test file with a patched source folder first in the path."""
    others = sorted(str(path) for path in ROOT.glob("libs/*/src"))
    paths = " ".join([str(source), *others])
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-x",
            "-p",
            "no:cacheprovider",
            "-o",
            f"pythonpath={paths}",
            test,
        ],
        cwd=ROOT,
        env={**os.environ, "HYPOTHESIS_PROFILE": "mutations"},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        check=False,
    )
    return result.returncode, result.stdout + result.stderr


def find_failure(output: str) -> str | None:
    """Returns the failed assertion or the library's error, or None.

    pytest marks lines of the exception with E. Other lines that contain an
    assertion are source code around the failure.
    """
    for line in output.splitlines():
        if not line.startswith("E "):
            continue
        text = line[1:].strip()
        if text.startswith(("AssertionError", "assert ")) or ": FL-" in text:
            return text
    return None


def passes_without_fault(test: str) -> bool:
    """Returns whether a test passes on the unpatched sources.

    A test that fails there would appear to find every fault.
    """
    status, _ = run_test(test, ROOT / "libs" / "core" / "src")
    return status == 0


def check_fault(fault: faults.Fault) -> str | None:
    """Returns None when the test finds the fault, else what went wrong."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            source = apply_fault(fault, pathlib.Path(folder))
        except ValueError as error:
            return str(error)
        try:
            status, output = run_test(fault.test, source)
        except subprocess.TimeoutExpired:
            return f"timed out after {TEST_TIMEOUT_S} s"
    if status == 0:
        return "not found by its test"
    reason = find_failure(output)
    if status != TESTS_FAILED or reason is None:
        return f"no failed assertion (status {status})\n{output[-2000:]}"
    print(f"found: {fault.name}: {reason}", flush=True)
    return None


def main(names: list[str]) -> int:
    """Checks the named faults, or all; returns the exit status."""
    known = {fault.name for fault in faults.FAULTS}
    unknown = [name for name in names if name not in known]
    if unknown:
        print(f"no such fault: {', '.join(unknown)}")
        return 64
    chosen = [f for f in faults.FAULTS if not names or f.name in names]
    failing = [
        test
        for test in {f.test for f in chosen}
        if not passes_without_fault(test)
    ]
    if failing:
        print(f"fails without a fault: {', '.join(failing)}")
        return 1
    missed = 0
    for fault in chosen:
        problem = check_fault(fault)
        if problem is not None:
            missed += 1
            print(f"MISSED: {fault.name}: {problem}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
