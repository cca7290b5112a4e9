"""The adapter to the users' platform: its names, formats and protocols."""

from __future__ import annotations

from burdockledge.platform._documents import PlatformDecoder
from burdockledge.platform._duty_api import HttpDutyApi
from burdockledge.platform._duty_store import HttpDutyStore
from burdockledge.platform._front import Front
from burdockledge.platform._names import PARTS_PATH, PLACE_PATH
from burdockledge.platform._part_endpoint import (
    RELEASE_CONTEXT,
    PartEndpoint,
    PartRelease,
)
from burdockledge.platform._place_endpoint import (
    PLACE_CONTEXT,
    PlaceEndpoint,
    PlaceQuestion,
)
from burdockledge.platform._servers import HttpServerClient
from burdockledge.platform._settings import load_host_settings
from burdockledge.platform._store import StoreClient
from burdockledge.platform._usage_report import PlatformUsageReport

__all__ = (
    'Front',
    'HttpDutyApi',
    'HttpDutyStore',
    'HttpServerClient',
    'PLACE_CONTEXT',
    'PLACE_PATH',
    'PartEndpoint',
    'PartRelease',
    'PlaceEndpoint',
    'PlaceQuestion',
    'PlatformDecoder',
    'PlatformUsageReport',
    'PARTS_PATH',
    'RELEASE_CONTEXT',
    'StoreClient',
    'load_host_settings',
)
