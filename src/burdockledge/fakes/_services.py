"""In-memory plain services that execute every call they receive."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from burdockledge.backends import (
    CallFailure,
    ServiceCall,
    ServiceClient,
    ServiceReply,
)
from burdockledge.fakes._network import process_context

if TYPE_CHECKING:
    from burdockledge.fakes._network import FakeNetwork

_WORK_SECONDS: Final = 0.005
_CONNECT_TIMEOUT_SECONDS: Final = 1


@dataclass(slots=True)
class FakeService:
    """
    One service and its injected faults.

    ``call_times`` holds the loop time of each call, in seconds.
    """

    is_down: bool = False
    is_leaving: bool = False
    is_silent: bool = False
    loses_answers: bool = False
    work_seconds: float = _WORK_SECONDS
    call_times: list[float] = field(default_factory=list)


class FakeServices(ServiceClient):
    """The service client of one host; all hosts share the execution counts."""

    def __init__(
        self,
        network: FakeNetwork,
        process: str,
        services: dict[str, FakeService],
        executions: Counter[str],
    ) -> None:
        """Create the client for a process of the network."""
        self._network = network
        self._process = process
        self._services = services
        self._executions = executions

    async def call(
        self,
        url: str,
        call: ServiceCall,
    ) -> Result[ServiceReply, CallFailure]:
        """Execute the call in the service's own simulated process."""
        task = asyncio.get_running_loop().create_task(
            self._serve(url, call),
            context=process_context(url),
        )
        return await asyncio.shield(task)

    async def _serve(
        self,
        url: str,
        call: ServiceCall,
    ) -> Result[ServiceReply, CallFailure]:
        service = self._services[url]
        await asyncio.sleep(self._network.delay_seconds)
        if not self._network.is_open(self._process, url):
            await asyncio.sleep(_CONNECT_TIMEOUT_SECONDS)
            return Err(CallFailure.not_sent)
        if service.is_down:
            return Err(CallFailure.not_sent)
        if service.is_leaving:
            return Err(CallFailure.refused)
        service.call_times.append(asyncio.get_running_loop().time())
        if call.idempotency_key:
            self._executions[call.idempotency_key] += 1
        return await self._answer(url, service, call)

    async def _answer(
        self,
        url: str,
        service: FakeService,
        call: ServiceCall,
    ) -> Result[ServiceReply, CallFailure]:
        if service.is_silent or service.work_seconds >= call.timeout_seconds:
            await asyncio.sleep(call.timeout_seconds)
            return Err(CallFailure.in_doubt)
        await asyncio.sleep(service.work_seconds)
        is_open = self._network.is_open(url, self._process)
        if service.loses_answers or not is_open:
            return Err(CallFailure.in_doubt)
        return Ok(ServiceReply(200, 'text/plain', call.body))


__all__ = ('FakeService', 'FakeServices')
