"""The directory of entry hosts that callers are sent to."""

from __future__ import annotations

from burdockledge.directory._directory import Directory

__all__ = ('Directory',)
