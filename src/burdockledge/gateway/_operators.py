"""Handlers for operators: configuration, status, drain, metrics and events."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web
from pydantic import ValidationError
from result import Err, Result

from burdockledge.claims import Outcome
from burdockledge.configuration import (
    Document,
    PatchOutcome,
    PatchRecord,
    PatchStatus,
)
from burdockledge.gateway._bodies import PatchBody
from burdockledge.gateway._errors import ApiError
from burdockledge.platform_api import PlatformFailure
from burdockledge.wire import MemberStatus

if TYPE_CHECKING:
    from burdockledge.gateway._admission import Admission
    from burdockledge.gateway._components import HostComponents

_PUBLISH_TIMEOUT_SECONDS: Final = 10
_HTTP_STATUS: Final = {
    PatchStatus.accepted: 200,
    PatchStatus.stale: 409,
    PatchStatus.invalid: 422,
}


class OperatorHandlers:
    """Handles the resources under ``/admin``, metrics and the health check."""

    def __init__(
        self, components: HostComponents, admission: Admission
    ) -> None:
        """Act on the components of a host."""
        self._components = components
        self._admission = admission

    async def configuration(self, request: web.Request) -> web.Response:
        """Return the configuration in force on this host."""
        denied = self._authentication_error(request)
        if denied is not None:
            return denied
        state = self._components.configuration.state
        return web.json_response(
            {
                'version': 0 if state is None else state.version,
                'offset': -1 if state is None else state.offset,
                'document': {} if state is None else state.raw,
            },
        )

    async def schema(self, request: web.Request) -> web.Response:
        """Return the JSON schema of the configuration document."""
        denied = self._authentication_error(request)
        if denied is not None:
            return denied
        return web.json_response(Document.model_json_schema())

    async def history(self, request: web.Request) -> web.Response:
        """Return the outcomes of the newest patches."""
        denied = self._authentication_error(request)
        if denied is not None:
            return denied
        outcomes = self._components.configuration.history.outcomes()
        return web.json_response(
            {'patches': [_outcome_json(outcome) for outcome in outcomes]},
        )

    async def publish(self, request: web.Request) -> web.Response:
        """Publish a patch and return its outcome, waiting up to 10 seconds."""
        authenticated = self._admission.authenticate_operator(request)
        if isinstance(authenticated, Err):
            return authenticated.err_value.response('')
        raw_body = await self._admission.read_body(request)
        if isinstance(raw_body, Err):
            return raw_body.err_value.response('')
        try:
            body = PatchBody.model_validate_json(raw_body.ok_value)
        except ValidationError as error:
            return ApiError(400, 'invalid_patch', str(error)).response('')
        record = PatchRecord(
            id=body.id,
            base=body.base,
            author=authenticated.ok_value,
            patch=body.patch,
        )
        published = await self._components.configuration.publish(
            record,
            _PUBLISH_TIMEOUT_SECONDS,
        )
        return _publish_response(published, body.id)

    async def status(self, request: web.Request) -> web.Response:
        """
        Return the status of this host and its view of the other hosts.

        ``leads`` are the servers with a slot scheduler on this host.
        """
        denied = self._authentication_error(request)
        if denied is not None:
            return denied
        components = self._components
        state = components.configuration.state
        schedulers = {
            name: {
                'running': scheduler.running_count,
                'waiting': scheduler.waiting_count,
            }
            for name, scheduler in components.schedulers.schedulers.items()
        }
        return web.json_response(
            {
                'host': components.settings.host_id,
                'data_centre': components.settings.data_centre,
                'state': components.lifecycle.state.value,
                'in_flight': components.lifecycle.in_flight,
                'pending': components.broker.pending_request_count,
                'slots_held': components.broker.held_slot_count,
                'version': 0 if state is None else state.version,
                'keys': len(components.claims.claim_table),
                'leads': schedulers,
                'members': [
                    {
                        'host': member.host,
                        'data_centre': member.data_centre,
                        'status': MemberStatus(member.status).name,
                    }
                    for member in components.membership.table.updates()
                ],
            },
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Ask this host to finish its requests and stop; return at once."""
        denied = self._authentication_error(request)
        if denied is not None:
            return denied
        self._components.lifecycle.drain_requested.set()
        return web.json_response({'state': 'draining'}, status=202)

    async def time_line(self, request: web.Request) -> web.Response:
        """Return the recorded events, of one subject or of all."""
        denied = self._authentication_error(request)
        if denied is not None:
            return denied
        subject = request.query.get('subject', '')
        events = self._components.time_line.events(subject)
        return web.json_response(
            {'events': [asdict(event) for event in events]}
        )

    async def metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        denied = self._authentication_error(request)
        if denied is not None:
            return denied
        components = self._components
        gauges = {
            'in_flight': components.lifecycle.in_flight,
            'pending': components.broker.pending_request_count,
            'slots_held': components.broker.held_slot_count,
            'keys': len(components.claims.claim_table),
            'log_appends': components.claims.append_count,
            'datagrams': components.membership.datagrams_sent,
            'datagram_bytes': components.membership.bytes_sent,
            'peer_frames': components.bus.frames_sent,
            'peer_bytes': components.bus.bytes_sent,
        }
        for name, reading in gauges.items():
            components.metrics.set_gauge(name, reading)
        return web.Response(text=components.metrics.render())

    async def health(self, _request: web.Request) -> web.Response:
        """Return 200 if this host accepts requests, else 503; needs no key."""
        is_ready = (
            self._components.lifecycle.accepts_requests
            and self._components.configuration.state is not None
        )
        return web.Response(status=200 if is_ready else 503)

    def _authentication_error(
        self, request: web.Request
    ) -> web.Response | None:
        authenticated = self._admission.authenticate_operator(request)
        if isinstance(authenticated, Err):
            return authenticated.err_value.response('')
        return None


def _publish_response(
    published: Result[PatchOutcome, PlatformFailure],
    patch_id: str,
) -> web.Response:
    if isinstance(published, Err):
        is_not_appended = published.err_value is PlatformFailure.not_appended
        outcome = Outcome.not_run if is_not_appended else Outcome.unknown
        message = (
            f'patch {patch_id}: its outcome was not read from the log in '
            'time; publish it again with the same id'
        )
        error = ApiError(503, 'undecided', message, outcome, 1000)
        return error.response('')
    outcome_json = _outcome_json(published.ok_value)
    status = _HTTP_STATUS[published.ok_value.status]
    return web.json_response(outcome_json, status=status)


def _outcome_json(outcome: PatchOutcome) -> dict[str, Any]:
    return {**asdict(outcome), 'status': outcome.status.value}


__all__ = ('OperatorHandlers',)
