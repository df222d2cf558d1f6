#!/bin/sh
# The stand-ins are scripts on Python's standard library (3.11 or later): nothing is built.
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
