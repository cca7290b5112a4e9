"""Checks that only the platform adapter uses names of the platform."""

from __future__ import annotations

import re
from pathlib import Path

import burdockledge

PACKAGE_DIRECTORY = Path(burdockledge.__file__).parent
# Spelled as on the wire; each is too specific to match another name here.
PLATFORM_NAMES = re.compile(
    'Burdockledge-(Deadline|Tenant|Expect|Not-Exec|Response-Seal'
    '|Prompt-Prefix|Token-Count|Request-Urgency|Model|Kv)|Kv-F(rom|etch)'
    '|log-(read|append|newest|join)|keyed\\.|api_keys|target_latency_ms'
    '|gap_aim_ms|traffic_split|max_attempts"|heartbeat_ms|internal_ports'
    '|BURDOCKLEDGE_BOOT|/burdockledge/(resolve|ready|report)'
)


def test_platform_names_occur_only_in_the_adapter() -> None:
    """No file outside the adapter contains one of the names."""
    offending_files = [
        path.relative_to(PACKAGE_DIRECTORY)
        for path in PACKAGE_DIRECTORY.rglob('*.py')
        if 'platform' not in path.relative_to(PACKAGE_DIRECTORY).parts
        and PLATFORM_NAMES.search(path.read_text('utf-8'))
    ]
    assert offending_files == []
