"""Print the hash of a key as the configuration expects it: hash_key.py KEY."""

from __future__ import annotations

import hashlib
import sys

digest = hashlib.sha256(sys.argv[1].encode()).hexdigest()
sys.stdout.write(f'sha256:{digest}\n')
