"""Hashing that lets every host choose the same without agreement."""

from __future__ import annotations

from burdockledge.hashing._rendezvous import rank

__all__ = ('rank',)
