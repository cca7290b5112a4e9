"""The committed capacity page matches its recorded data."""

from __future__ import annotations

from pathlib import Path

from burdockledge.bench import CapacityData, render_capacity

DOCS = Path(__file__).parent.parent.parent / 'docs'


def test_page_matches_recorded_data() -> None:
    """A change to only one of the page and its data fails."""
    text = (DOCS / 'data' / 'capacity.json').read_text('utf-8')
    capacity = CapacityData.model_validate_json(text)
    assert (DOCS / 'CAPACITY.md').read_text('utf-8') == render_capacity(
        capacity
    )
