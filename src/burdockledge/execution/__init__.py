"""Runs requests on backend servers and returns their outcomes."""

from __future__ import annotations

from burdockledge.execution._at_most_once import AtMostOnceRunner
from burdockledge.execution._dispatch import Dispatcher
from burdockledge.execution._generation import GenerationRunner
from burdockledge.execution._service_call import ServiceCallRunner
from burdockledge.execution._types import (
    Answer,
    AnswerEnd,
    AnswerPart,
    Problem,
    ProblemCode,
    RequestContext,
)

__all__ = (
    'Answer',
    'AnswerEnd',
    'AnswerPart',
    'AtMostOnceRunner',
    'Dispatcher',
    'GenerationRunner',
    'Problem',
    'ProblemCode',
    'RequestContext',
    'ServiceCallRunner',
)
