"""``burdockledge standin KIND``: run a test double of an external service."""

from __future__ import annotations

from burdockledge.cli._command import Command, ExitCode, run_async
from burdockledge.standins import (
    EngineSettings,
    EngineStandIn,
    HostListSettings,
    HostListStandIn,
    LogSettings,
    LogStandIn,
    PlainServiceSettings,
    ServiceStandIn,
    serve_stand_in,
)


class StandInEngine(Command[EngineSettings]):
    """Run a stand-in engine whose answers a client can verify."""

    words = ('standin', 'engine')
    summary = 'run a stand-in of a model engine'
    settings_model = EngineSettings

    def run(self, settings: EngineSettings) -> ExitCode:
        """Serve until stopped."""
        return run_async(self._serve(settings))

    async def _serve(self, settings: EngineSettings) -> ExitCode:
        await serve_stand_in(EngineStandIn(settings), settings.address)
        return ExitCode.ok


class StandInService(Command[PlainServiceSettings]):
    """Run a stand-in service that counts executions per idempotency key."""

    words = ('standin', 'service')
    summary = 'run a stand-in of a plain service'
    settings_model = PlainServiceSettings

    def run(self, settings: PlainServiceSettings) -> ExitCode:
        """Serve until stopped."""
        return run_async(self._serve(settings))

    async def _serve(self, settings: PlainServiceSettings) -> ExitCode:
        await serve_stand_in(ServiceStandIn(settings), settings.address)
        return ExitCode.ok


class StandInLog(Command[LogSettings]):
    """Run a stand-in of the platform's append-only log."""

    words = ('standin', 'log')
    summary = "run a stand-in of the platform's log"
    settings_model = LogSettings

    def run(self, settings: LogSettings) -> ExitCode:
        """Serve until stopped."""
        return run_async(self._serve(settings))

    async def _serve(self, settings: LogSettings) -> ExitCode:
        await serve_stand_in(LogStandIn(settings), settings.address)
        return ExitCode.ok


class StandInHosts(Command[HostListSettings]):
    """Run a stand-in of the platform's host list, with a propagation delay."""

    words = ('standin', 'hosts')
    summary = "run a stand-in of the platform's host list"
    settings_model = HostListSettings

    def run(self, settings: HostListSettings) -> ExitCode:
        """Serve until stopped."""
        return run_async(self._serve(settings))

    async def _serve(self, settings: HostListSettings) -> ExitCode:
        await serve_stand_in(HostListStandIn(settings), settings.address)
        return ExitCode.ok


__all__ = ('StandInEngine', 'StandInHosts', 'StandInLog', 'StandInService')
