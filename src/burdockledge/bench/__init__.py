"""
Benchmarks of the router.

They measure how processor time, memory and bytes grow with the load,
extrapolate that to a large fleet, compare placement policies in virtual
time, compare the check of servers with a placement, and show what the news of
other hosts' calls costs a host.
"""

from __future__ import annotations

from burdockledge.bench._capacity_page import render_capacity
from burdockledge.bench._estimate import (
    FLEET,
    Budget,
    CapacityData,
    Fleet,
    RoleEstimate,
    estimate_roles,
)
from burdockledge.bench._fit import LinearFit, fit_line
from burdockledge.bench._gate import (
    SERVER_COUNT,
    GateCosts,
    measure_gate,
    render_gate,
)
from burdockledge.bench._news import (
    HOST_COUNTS,
    NewsCosts,
    measure_news,
    render_news,
)
from burdockledge.bench._policy_page import (
    load_runs,
    plot_policy,
    render_policy,
)
from burdockledge.bench._policy_run import (
    SCENARIOS,
    SIZES,
    run_policies,
)
from burdockledge.bench._relay import run_relay
from burdockledge.bench._scaling import (
    measure_calibration_seconds,
    measure_scaling,
)

__all__ = (
    'measure_calibration_seconds',
    'SERVER_COUNT',
    'GateCosts',
    'measure_gate',
    'render_gate',
    'HOST_COUNTS',
    'NewsCosts',
    'measure_news',
    'render_news',
    'SCENARIOS',
    'SIZES',
    'run_policies',
    'load_runs',
    'plot_policy',
    'render_policy',
    'FLEET',
    'Budget',
    'CapacityData',
    'Fleet',
    'LinearFit',
    'RoleEstimate',
    'fit_line',
    'measure_scaling',
    'estimate_roles',
    'render_capacity',
    'run_relay',
)
