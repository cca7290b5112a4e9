"""Simulated engines, services, log and host list to try entry hosts with."""

from __future__ import annotations

from burdockledge.standins._engine_http import EngineStandIn
from burdockledge.standins._engine_model import EngineModel, Generation
from burdockledge.standins._faults import FaultCommand, FaultInjector
from burdockledge.standins._host_list_http import HostListStandIn
from burdockledge.standins._log_http import LogStandIn
from burdockledge.standins._log_store import LogStore
from burdockledge.standins._service_http import ServiceStandIn
from burdockledge.standins._serving import StandIn, serve_stand_in
from burdockledge.standins._settings import (
    EngineSettings,
    HostListSettings,
    LogSettings,
    PlainServiceSettings,
    StandInSettings,
)
from burdockledge.standins._text import prompt_digest, token_text

__all__ = (
    'EngineModel',
    'EngineSettings',
    'EngineStandIn',
    'FaultCommand',
    'FaultInjector',
    'Generation',
    'HostListSettings',
    'HostListStandIn',
    'LogSettings',
    'LogStandIn',
    'LogStore',
    'PlainServiceSettings',
    'ServiceStandIn',
    'StandIn',
    'StandInSettings',
    'prompt_digest',
    'serve_stand_in',
    'token_text',
)
