"""Which addresses callers are told to use."""

from __future__ import annotations

from burdockledge.directory._directory import Directory

__all__ = ('Directory',)
