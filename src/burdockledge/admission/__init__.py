"""Decides which calls are refused in overload, without network or clock."""

from __future__ import annotations

from burdockledge.admission._controller import AdmissionController
from burdockledge.admission._returning_calls import CallKey, ReturningCalls
from burdockledge.admission._types import (
    AdmissionCall,
    Forecast,
    LoadRefusal,
    RefusalReason,
    ServiceView,
)

__all__ = (
    'AdmissionCall',
    'AdmissionController',
    'CallKey',
    'Forecast',
    'LoadRefusal',
    'RefusalReason',
    'ReturningCalls',
    'ServiceView',
)
