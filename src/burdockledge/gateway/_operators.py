"""Handlers for operators: configuration, status, drain and time line."""

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
from burdockledge.gateway._errors import ErrorAnswer
from burdockledge.platform_api import LogFailure
from burdockledge.wire import MemberStatus

if TYPE_CHECKING:
    from burdockledge.gateway._admission import Admission
    from burdockledge.gateway._wiring import GatewayParts

_PUBLISH_SECONDS: Final = 10
_STATUS: Final = {
    PatchStatus.accepted: 200,
    PatchStatus.stale: 409,
    PatchStatus.invalid: 422,
}


class OperatorHandlers:
    """The resources under ``/admin``."""

    def __init__(self, parts: GatewayParts, admission: Admission) -> None:
        """Act on the parts of the host."""
        self._parts = parts
        self._admission = admission

    async def configuration(self, request: web.Request) -> web.Response:
        """Show the configuration in force on this host."""
        refused = self._refused(request)
        if refused is not None:
            return refused
        state = self._parts.configuration.state
        return web.json_response(
            {
                'version': 0 if state is None else state.version,
                'offset': -1 if state is None else state.offset,
                'document': {} if state is None else state.raw,
            },
        )

    async def schema(self, request: web.Request) -> web.Response:
        """Show the JSON schema of the configuration document."""
        refused = self._refused(request)
        if refused is not None:
            return refused
        return web.json_response(Document.model_json_schema())

    async def history(self, request: web.Request) -> web.Response:
        """Show the newest verdicts on patches."""
        refused = self._refused(request)
        if refused is not None:
            return refused
        outcomes = self._parts.configuration.history.outcomes()
        return web.json_response(
            {'patches': [_outcome_json(outcome) for outcome in outcomes]},
        )

    async def publish(self, request: web.Request) -> web.Response:
        """Publish a patch and tell its verdict."""
        named = self._admission.operator(request)
        if isinstance(named, Err):
            return named.err_value.response('')
        read = await self._admission.read_body(request)
        if isinstance(read, Err):
            return read.err_value.response('')
        try:
            body = PatchBody.model_validate_json(read.ok_value)
        except ValidationError as error:
            return ErrorAnswer(400, 'invalid_patch', str(error)).response('')
        record = PatchRecord(
            id=body.id,
            base=body.base,
            author=named.ok_value,
            patch=body.patch,
        )
        published = await self._parts.configuration.publish(
            record,
            _PUBLISH_SECONDS,
        )
        return _published(published, body.id)

    async def status(self, request: web.Request) -> web.Response:
        """Show this host and what it knows of the others."""
        refused = self._refused(request)
        if refused is not None:
            return refused
        parts = self._parts
        state = parts.configuration.state
        leads = {
            name: {'running': lead.running_count, 'waiting': lead.waiting_count}
            for name, lead in parts.leads.schedulers.items()
        }
        return web.json_response(
            {
                'host': parts.settings.host_id,
                'data_centre': parts.settings.data_centre,
                'state': parts.lifecycle.state.value,
                'in_flight': parts.lifecycle.in_flight,
                'pending': parts.broker.pending_request_count,
                'slots_held': parts.broker.held_slot_count,
                'version': 0 if state is None else state.version,
                'keys': len(parts.claims.table),
                'leads': leads,
                'members': [
                    {
                        'host': member.host,
                        'data_centre': member.data_centre,
                        'status': MemberStatus(member.status).name,
                    }
                    for member in parts.membership.table.updates()
                ],
            },
        )

    async def drain(self, request: web.Request) -> web.Response:
        """Begin a planned stop."""
        refused = self._refused(request)
        if refused is not None:
            return refused
        self._parts.lifecycle.drain_requested.set()
        return web.json_response({'state': 'draining'}, status=202)

    async def time_line(self, request: web.Request) -> web.Response:
        """Show the kept events, of one subject or of all."""
        refused = self._refused(request)
        if refused is not None:
            return refused
        subject = request.query.get('subject', '')
        events = self._parts.time_line.events(subject)
        return web.json_response({'events': [asdict(one) for one in events]})

    async def metrics(self, request: web.Request) -> web.Response:
        """Show the metrics in the Prometheus text format."""
        refused = self._refused(request)
        if refused is not None:
            return refused
        parts = self._parts
        levels = {
            'in_flight': parts.lifecycle.in_flight,
            'pending': parts.broker.pending_request_count,
            'slots_held': parts.broker.held_slot_count,
            'keys': len(parts.claims.table),
            'log_appends': parts.claims.append_count,
            'datagrams': parts.membership.datagrams_sent,
            'datagram_bytes': parts.membership.bytes_sent,
            'peer_frames': parts.bus.frames_sent,
            'peer_bytes': parts.bus.bytes_sent,
        }
        for name, level in levels.items():
            parts.metrics.gauge(name, level)
        return web.Response(text=parts.metrics.render())

    async def health(self, _request: web.Request) -> web.Response:
        """Tell whether this host takes requests, without any detail."""
        is_ready = (
            self._parts.lifecycle.takes_requests
            and self._parts.configuration.state is not None
        )
        return web.Response(status=200 if is_ready else 503)

    def _refused(self, request: web.Request) -> web.Response | None:
        named = self._admission.operator(request)
        if isinstance(named, Err):
            return named.err_value.response('')
        return None


def _published(
    published: Result[PatchOutcome, LogFailure],
    patch_id: str,
) -> web.Response:
    if isinstance(published, Err):
        is_certain = published.err_value is LogFailure.not_appended
        outcome = Outcome.not_run if is_certain else Outcome.unknown
        message = (
            f'patch {patch_id}: the log gave no verdict; '
            'publish it again with the same id'
        )
        error = ErrorAnswer(503, 'undecided', message, outcome, 1000)
        return error.response('')
    outcome_json = _outcome_json(published.ok_value)
    status = _STATUS[published.ok_value.status]
    return web.json_response(outcome_json, status=status)


def _outcome_json(outcome: PatchOutcome) -> dict[str, Any]:
    return {**asdict(outcome), 'status': outcome.status.value}


__all__ = ('OperatorHandlers',)
