"""Wait at most 20 seconds until every URL answers 200: wait_ready.py URL ..."""

from __future__ import annotations

import sys
import time
import urllib.error
import urllib.request

_TIMEOUT_SECONDS = 20


def is_ready(url: str) -> bool:
    """Return whether a URL answers 200."""
    try:
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


deadline = time.monotonic() + _TIMEOUT_SECONDS
waiting = list(sys.argv[1:])
while waiting and time.monotonic() < deadline:
    waiting = [url for url in waiting if not is_ready(url)]
    time.sleep(0.1)
if waiting:
    sys.stderr.write(f'not ready: {" ".join(waiting)}\n')
sys.exit(bool(waiting))
