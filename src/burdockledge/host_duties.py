"""The duties of an entry host, connected to the parts that they use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockledge.duties import DutyHolder
from burdockledge.platform import HttpDutyApi, HttpDutyStore

if TYPE_CHECKING:
    from random import Random

    import aiohttp

    from burdockledge.duties import Duty, DutyApi
    from burdockledge.host import RelayHost
    from burdockledge.settings import DutySettings


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
    return []


__all__ = ('make_duty_holder',)
