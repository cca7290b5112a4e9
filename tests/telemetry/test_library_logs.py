"""The log lines of libraries, such as those of failed tasks."""

from __future__ import annotations

import logging
from collections.abc import Iterator, MutableMapping
from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs

from burdockledge.clock import VirtualTimeLoop
from burdockledge.telemetry import configure_logs
from tests.kernel.test_tasks import FaultyService, run_for

LogLines = list[MutableMapping[str, Any]]


@pytest.fixture
def host_logs() -> Iterator[LogLines]:
    """Log like a host, and restore the defaults afterwards."""
    handlers = logging.root.handlers[:]
    configure_logs('info', 'h')
    with capture_logs() as lines:
        yield lines
    structlog.reset_defaults()
    logging.basicConfig(handlers=handlers, force=True)


def test_the_log_says_where_a_task_failed(host_logs: LogLines) -> None:
    """Guards against a line that can't tell why a task ended (review/1)."""
    loop = VirtualTimeLoop()
    service = FaultyService(failures=1)
    run_for(loop, service, service.start_once(), 1)
    (failed,) = [line for line in host_logs if 'failed' in line['event']]
    assert failed['event'] == 'FaultyService.work of faulty failed'
    assert failed['error'] == "RecursionError('too deep')"
    assert failed['raised_at'].startswith('_raise_deep_error:')
    assert ' < work:' in failed['raised_at']
