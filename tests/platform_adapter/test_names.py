"""Nothing outside of the adapter knows a name of the platform's."""

from __future__ import annotations

import re
from pathlib import Path

import burdockledge

SOURCE = Path(burdockledge.__file__).parent
# Spelled as on the wire; each is specific enough to be no word of our own.
NAMES = re.compile(
    'Burdockledge-(Deadline|Tenant|Expect|Not-Exec|Response-Seal'
    '|Prompt-Prefix|Token-Count|Request-Urgency|Model|Kv)|Kv-F(rom|etch)'
    '|log-(read|append|newest|join)|keyed\\.|api_keys|target_latency_ms'
    '|gap_aim_ms|traffic_split|max_attempts"|heartbeat_ms|internal_ports'
    '|BURDOCKLEDGE_BOOT|/burdockledge/(resolve|ready|report)'
)


def test_names_of_the_platform_stay_in_the_adapter() -> None:
    """Every other file spells none of them."""
    found = [
        path.relative_to(SOURCE)
        for path in SOURCE.rglob('*.py')
        if 'platform' not in path.relative_to(SOURCE).parts
        and NAMES.search(path.read_text('utf-8'))
    ]
    assert found == []
