"""Known breakages of the product, to show that the oracle finds them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from burdockledge.host import RelayHost
from burdockledge.platform import _calls, _servers
from burdockledge.registry import ServerRegistry
from burdockledge.relay import ReplicatedRoutingState, _forwarder, _responder
from burdockledge.relay import _relay as relay_module


def repeat_all() -> None:
    """Send again what may have run."""
    _forwarder.Forwarder._reason_not_to_retry = lambda *_: None


def call_all_not_run() -> None:
    """Answer 503 where 502 is due."""
    _forwarder.BAD_GATEWAY = _responder.UNAVAILABLE


def take_cut_answers() -> None:
    """Pass a cut answer on as a whole one."""

    async def read(self: Any) -> bytes:
        body = await self._response.content.readany()
        return bytes(body[: len(body) // 2])

    _servers._HttpServerResponse.read = read


def restart_streams() -> None:
    """Forget the last event of a stream that is resumed."""
    plain = _calls.outbound_headers

    def without_last(outbound: Any) -> Any:
        return tuple(
            pair for pair in plain(outbound) if pair[0] != 'Last-Event-Id'
        )

    _servers.outbound_headers = without_last


def end_cut_streams() -> None:
    """End a stream as complete wherever it was cut."""
    plain = _forwarder._chunks_with_timeout

    async def forgiving(answer: Any, limit: Any) -> Any:
        try:
            async for chunk in plain(answer, limit):
                yield chunk
        except _forwarder.IncompleteResponseError:
            return

    _forwarder._chunks_with_timeout = forgiving


def believe_callers() -> None:
    """Let callers set the headers of the system."""
    _calls.names.UNFORWARDED_HEADERS = frozenset()


def use_leaving_servers() -> None:
    """Send new work to draining servers."""
    ServerRegistry.ready_instances = lambda self, service, now: [
        instance
        for instance in self.all_instances(now)
        if instance.service == service
    ]


def stop_at_once() -> None:
    """Cut what is in flight at a planned stop."""

    async def drain(self: Any) -> None:
        self.membership.leave()

    RelayHost.drain = drain


def keep_first_version() -> None:
    """Never follow a new version of the configuration."""
    plain = ReplicatedRoutingState._apply_configuration

    def fold(self: Any, key: str, content: bytes) -> None:
        if self._routes is None:
            plain(self, key, content)

    ReplicatedRoutingState._apply_configuration = fold


def wait_for_ever() -> None:
    """Hold calls beyond their time limit."""
    plain = relay_module.Relay._serve

    async def serve(self: Any, served: Any, patience: float) -> None:
        served.deadline += 60
        await plain(self, served, patience + 60)

    relay_module.Relay._serve = serve


def leak_sockets() -> None:
    """Open a descriptor for every call and keep it."""
    kept: list[socket.socket] = []
    plain = relay_module.Relay.handle

    async def handle(self: Any, call: Any, caller: Any) -> None:
        kept.append(socket.socket())
        await plain(self, call, caller)

    relay_module.Relay.handle = handle


def starve_checks() -> None:
    """Refuse every call of one route."""
    plain = relay_module.Relay._serve

    async def serve(self: Any, served: Any, patience: float) -> None:
        if served.route.name == 'check':
            await self._responder.send_error(
                served, _responder.UNAVAILABLE, 'no'
            )
        else:
            await plain(self, served, patience)

    relay_module.Relay._serve = serve


def exit_later() -> None:
    """End the process some seconds after its start."""
    plain = RelayHost.start

    async def start(self: Any) -> None:
        await plain(self)
        asyncio.get_running_loop().call_later(
            5, lambda: __import__('os')._exit(3)
        )

    RelayHost.start = start


PLANTS: dict[str, Callable[[], None]] = {
    plant.__name__: plant
    for plant in (
        repeat_all,
        call_all_not_run,
        take_cut_answers,
        restart_streams,
        end_cut_streams,
        believe_callers,
        use_leaving_servers,
        stop_at_once,
        keep_first_version,
        wait_for_ever,
        leak_sockets,
        starve_checks,
        exit_later,
    )
}
