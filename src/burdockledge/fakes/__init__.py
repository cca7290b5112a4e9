"""
In-memory fakes of everything outside an entry host, for virtual-time tests.

They replace the network, the log, the host list, the engines and the
services. The code of the entry hosts runs on them unchanged.
"""

from __future__ import annotations

from burdockledge.fakes._engines import FakeEngines
from burdockledge.fakes._host_list import FakeHostList
from burdockledge.fakes._log import FakeLog
from burdockledge.fakes._network import (
    FakeDatagramSocket,
    FakeNetwork,
    FakePeerBus,
)
from burdockledge.fakes._services import FakeServices
from burdockledge.fakes._site import Site, SiteHost, run_virtual

__all__ = (
    'FakeEngines',
    'FakeHostList',
    'FakeLog',
    'FakeNetwork',
    'FakePeerBus',
    'FakeDatagramSocket',
    'FakeServices',
    'Site',
    'SiteHost',
    'run_virtual',
)
