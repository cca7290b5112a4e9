#!/bin/sh
# The stand-ins are plain Python and need no build; this checks their syntax.
set -eu
cd "$(dirname "$0")"
python3 -B - standins/*.py [1-9]/case.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as source:
        compile(source.read(), name, 'exec')
END
