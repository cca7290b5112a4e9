"""The duties of an entry host, connected to the parts that they use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.autoscaling import KnownFleet, ServerOrders
from burdockledge.duties import DutyHolder
from burdockledge.platform import (
    HttpDutyApi,
    HttpDutyStore,
    PlatformUsageReport,
)
from burdockledge.relay import STREAMS
from burdockledge.usage import UsageGossip, UsageReporter

if TYPE_CHECKING:
    from random import Random

    import aiohttp

    from burdockledge.duties import Duty, DutyApi
    from burdockledge.host import RelayHost
    from burdockledge.settings import DutySettings


def make_usage_gossip(host: RelayHost, random: Random) -> UsageGossip | None:
    """
    Create the service that counts the calls of teams on all hosts.

    :param host: its other components exist already.
    :return: None if the settings do not name usage reports.
    """
    settings = host.settings.duties
    if settings is None or not settings.reports_usage:
        return None
    gossip = UsageGossip(
        host.settings.host,
        host.exchange,
        settings.window_seconds,
        host.clock,
        random,
    )
    exchange = host.exchange
    gossip.store_era = lambda: max(
        exchange.state(stream).era for stream in STREAMS
    )
    host.relay.usage.on_run = gossip.note_run
    return gossip


def make_duty_holder(
    host: RelayHost, session: aiohttp.ClientSession, random: Random
) -> DutyHolder | None:
    """
    Create the service that does the duties which the settings name.

    :param host: its other components exist already.
    :param session: for calls to the store.
    :return: None if the settings name no duty.
    """
    settings = host.settings.duties
    if settings is None:
        return None
    holder = DutyHolder(
        host.settings.host,
        HttpDutyStore(host.settings.store_address, session),
        settings,
        host.clock,
        random,
        host.metrics,
    )
    holder.list_hosts = host.host_names
    api = HttpDutyApi(host.settings.host, settings, host.clock)
    for duty in _make_duties(host, settings, api):
        holder.register(duty)
    return holder


def _make_duties(
    host: RelayHost, settings: DutySettings, api: DutyApi
) -> list[Duty]:
    """Return the duties that the settings name; add new ones here."""
    duties: list[Duty] = []
    if host.usage_gossip is not None:
        duties.append(
            UsageReporter(
                host.usage_gossip,
                api,
                PlatformUsageReport(),
                settings,
                host.clock,
                host.metrics,
            )
        )
    if settings.orders_servers:
        duties.append(_make_server_orders(host, settings, api))
    return duties


def _make_server_orders(
    host: RelayHost, settings: DutySettings, api: DutyApi
) -> ServerOrders:
    state = host.routing_state
    return ServerOrders(
        KnownFleet(state.routes, state.registry, state.loads, state.age_ms),
        api,
        host.clock,
        host.metrics,
        settings.calls_per_second,
        is_suspended=host.settings.suspends_orders,
    )


__all__ = ('make_duty_holder', 'make_usage_gossip')
