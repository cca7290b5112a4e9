"""A router for language-model traffic with service levels and priorities."""

from __future__ import annotations

from typing import Final

VERSION: Final = '0.1.0'

__all__ = ('VERSION',)
