#!/bin/sh
# Builds what the scripts of review/4 and later start beside the program of the deploy file.  Their
# stand-ins are Python with the standard library only, so there is nothing to build but a check.
cd "$(dirname "$0")" && python3 -c '
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
' small_platform.py ./[4-8]/case.py
