#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. All of them are in rig-2/rig2.py, which python3 (3.9 or later, its standard
# library alone) runs as it is: nothing has to be compiled, and this only checks that it can be read here.
cd "$(dirname "$0")" || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, sys
assert sys.version_info >= (3, 9), sys.version
for path in ["rig-2/rig2.py"]:
    ast.parse(open(path).read(), path)
'
