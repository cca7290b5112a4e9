"""Reconstructs the history of a request from the logs of all hosts."""

from __future__ import annotations

from burdockledge.request_history._merged_log import (
    LogLine,
    MergedLog,
    RequestHistory,
)

__all__ = ('LogLine', 'MergedLog', 'RequestHistory')
