#!/bin/sh
# The stand-ins of the cases are Python scripts that use the standard library only, so there is nothing to compile.
# Checks that they can run, and that the build of the deploy file has left the router.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import glob
import sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in glob.glob("review/**/*.py", recursive=True):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
[ -x target/bin/bluebelld-platform ] || { echo "build the router first: see deploy/system.toml" >&2; exit 1; }
