#!/usr/bin/env bash
# The stand-ins need the standard library only; this checks that they compile.
cd "$(dirname "$0")" || exit 1
python3 - <<'P'
import pathlib

for path in [pathlib.Path("standins.py"), *sorted(pathlib.Path().glob("*/case.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
