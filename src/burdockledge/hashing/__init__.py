"""Rendezvous hashing, by which all hosts make the same choice."""

from __future__ import annotations

from burdockledge.hashing._rendezvous import rank

__all__ = ('rank',)
