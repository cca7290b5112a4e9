"""Handlers that look up entry hosts, models and outcomes for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from result import Err

from burdockledge.claims import parse_key
from burdockledge.gateway._admission import REQUEST_ID_BYTES, Admission
from burdockledge.gateway._generation import invalid_key_error, make_response
from burdockledge.wire import MemberStatus

if TYPE_CHECKING:
    from burdockledge.gateway._components import HostComponents
    from burdockledge.wire import MemberUpdate

_SAME_DATA_CENTRE_WEIGHT = 100
_OTHER_DATA_CENTRE_WEIGHT = 10


class LookupHandlers:
    """Handles the read-only resources for callers."""

    def __init__(
        self, components: HostComponents, admission: Admission
    ) -> None:
        """Read from the components of a host."""
        self._components = components
        self._admission = admission

    async def entry_hosts(self, request: web.Request) -> web.Response:
        """
        List the hosts that are alive, not those leaving, suspect or dead.

        A caller should prefer hosts with a higher weight. Without a data centre
        in the query all weights are equal.
        """
        authenticated = self._admission.authenticate_team(request)
        if isinstance(authenticated, Err):
            return authenticated.err_value.response('')
        caller_data_centre = request.query.get('data_centre')
        members = self._components.membership.table.updates()
        hosts = [
            _host_json(member, caller_data_centre)
            for member in members
            if member.status == MemberStatus.alive
        ]
        if not self._components.lifecycle.accepts_requests:
            own_id = self._components.settings.host_id
            hosts = [host for host in hosts if host['host'] != own_id]
        return web.json_response(
            {
                'entry_hosts': hosts,
                'ttl_seconds': self._components.settings.directory_ttl_seconds,
            },
        )

    async def models(self, request: web.Request) -> web.Response:
        """List the models that the caller's team may use."""
        authenticated = self._admission.authenticate_team(request)
        if isinstance(authenticated, Err):
            return authenticated.err_value.response('')
        classes = authenticated.ok_value.team.classes
        names = self._components.configuration.index.models(classes)
        model_list = [
            {'id': name, 'object': 'model', 'owned_by': 'burdockledge'}
            for name in names
        ]
        return web.json_response({'object': 'list', 'data': model_list})

    async def outcome(self, request: web.Request) -> web.Response:
        """Return the outcome of an idempotency key; execute nothing."""
        authenticated = self._admission.authenticate_team(request)
        if isinstance(authenticated, Err):
            return authenticated.err_value.response('')
        request_id = self._components.random.randbytes(REQUEST_ID_BYTES).hex()
        parsed = parse_key(
            authenticated.ok_value.name, request.match_info['key']
        )
        if isinstance(parsed, Err):
            return invalid_key_error(parsed.err_value.value).response(
                request_id
            )
        answer = await self._components.at_most_once_runner.look_up(
            parsed.ok_value
        )
        return make_response(request_id, answer)


def _host_json(
    member: MemberUpdate, caller_data_centre: str | None
) -> dict[str, object]:
    is_near = (
        caller_data_centre is None or member.data_centre == caller_data_centre
    )
    return {
        'host': member.host,
        'url': member.caller_url,
        'data_centre': member.data_centre,
        'weight': _SAME_DATA_CENTRE_WEIGHT
        if is_near
        else _OTHER_DATA_CENTRE_WEIGHT,
    }


__all__ = ('LookupHandlers',)
