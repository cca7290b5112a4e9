"""Send a fault command to a stand-in: control.py URL JSON."""

from __future__ import annotations

import sys
import urllib.request

request = urllib.request.Request(
    f'{sys.argv[1]}/control',
    data=sys.argv[2].encode(),
    method='POST',
)
with urllib.request.urlopen(request, timeout=5) as response:
    sys.stdout.write(f'{response.read().decode()}\n')
