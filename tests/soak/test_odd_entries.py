"""Test that the entries of other writers name no server to use."""

from __future__ import annotations

import pytest

from burdockledge.platform import PlatformDecoder
from tests.soak._odd_entries import ODD_ENTRIES, OddEntry


@pytest.mark.parametrize('entry', ODD_ENTRIES)
def test_odd_entry_is_no_registration(entry: OddEntry) -> None:
    """Guards against calls of the soak to an address without a server."""
    decoder = PlatformDecoder()
    assert decoder.decode_registration('odd', entry.content) is None
