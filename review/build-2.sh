#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They are Python
# programs without dependencies, of the project (testsuite, platform/standins)
# and of lib-2; building them is to check that they compile.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
sources = [pathlib.Path("testsuite/fleet.py"),
           pathlib.Path("platform/standins/standins.py")]
sources += sorted(pathlib.Path("review/lib-2").glob("*.py"))
sources += sorted(p for n in range(6, 11)
                  for p in pathlib.Path("review/%d" % n).glob("*.py"))
for source in sources:
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
print("%d stand-ins and cases compile" % len(sources))
END
