#!/bin/sh
# The stand-ins of the cases 4 to 8 are Python files: there is nothing to build, only to check.
set -e
cd "$(dirname "$0")"
python3 - standins2.py [4-8]/case.py <<'END'
import sys

for path in sys.argv[1:]:
    if "[" not in path:
        compile(open(path).read(), path, "exec")
END
