"""The client interface for plain services."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result


class CallFailure(enum.Enum):
    """
    Why a call has no response.

    Only ``not_sent`` and ``refused`` prove that the service ran nothing.
    """

    # No connection to the service was established.
    not_sent = 'not_sent'
    # The service answered 503 and stated that it did not run the call.
    refused = 'refused'
    # The call may have run: its response was lost, late or mismatched.
    in_doubt = 'in_doubt'


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """
    A request to a plain service.

    ``path`` includes the query. ``idempotency_key`` is forwarded to the
    service; it is empty for a call that may be repeated.
    ``timeout_seconds`` covers the whole call.
    """

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The complete response of a service."""

    status: int
    content_type: str
    body: bytes


class ServiceClient(ABC):
    """Calls plain services."""

    @abstractmethod
    async def call(
        self,
        url: str,
        call: ServiceCall,
    ) -> Result[ServiceReply, CallFailure]:
        """
        Send a call once and return the response.

        :param url: base URL of the service.
        """


__all__ = ('CallFailure', 'ServiceCall', 'ServiceClient', 'ServiceReply')
