"""An open-loop load generator that checks each answer against its request."""

from __future__ import annotations

from burdockledge.loadgen._audit import AuditFinding, audit_executions
from burdockledge.loadgen._plan import Arrival, plan_arrivals
from burdockledge.loadgen._report import (
    ClassReport,
    LoadReport,
    plot_report,
    render_table,
)
from burdockledge.loadgen._results import RequestResult, RunResults
from burdockledge.loadgen._runner import LoadRunner
from burdockledge.loadgen._workload import (
    Phase,
    Stream,
    Workload,
)

__all__ = (
    'Phase',
    'plot_report',
    'Arrival',
    'AuditFinding',
    'ClassReport',
    'LoadReport',
    'LoadRunner',
    'RequestResult',
    'RunResults',
    'Stream',
    'Workload',
    'audit_executions',
    'plan_arrivals',
    'render_table',
)
