"""The memory that this process holds, as its system counts it."""

from __future__ import annotations

import ctypes
import os
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Final

_STATM: Final = Path('/proc/self/statm')


class ProcessMemory(ABC):
    """The memory of a process."""

    @abstractmethod
    def resident_bytes(self) -> int | None:
        """Return what the process holds now, None if that is not known."""

    @abstractmethod
    def trim(self) -> None:
        """Return memory that was freed to the system."""


class SystemMemory(ProcessMemory):
    """The memory of this process on Linux."""

    def __init__(self) -> None:
        """Look up the function of the C library, which not all of them have."""
        self._trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
        self._page_bytes = os.sysconf('SC_PAGE_SIZE')

    def resident_bytes(self) -> int | None:
        """Return the resident set, pages of files included."""
        try:
            return int(_STATM.read_text().split()[1]) * self._page_bytes
        except (OSError, ValueError, IndexError):
            return None

    def trim(self) -> None:
        """
        Return the free pages of the heap.

        Without this, the C library keeps pages below others that are in use.
        """
        if self._trim is not None:
            self._trim(0)


__all__ = ('ProcessMemory', 'SystemMemory')
