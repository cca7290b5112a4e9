"""Reads the signed requests of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar, cast

from aiohttp.web_response import Response
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from burdockledge.connections import RoomRefusal, receive_body
from burdockledge.platform._calls import STATUS_BY_FAILURE
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from burdockledge.connections import GuardedConnection
    from burdockledge.peers import PeerKeys

_log = make_logger('operators')

_BAD_REQUEST: Final = 400
_FORBIDDEN: Final = 403
_METHOD_NOT_ALLOWED: Final = 405
_UNAVAILABLE: Final = 503
# The largest request of an operator names a prompt of many parts.
_MAX_BODY_BYTES: Final = 1024 * 1024
_IDLE_SECONDS: Final = 15.0

ModelT = TypeVar('ModelT', bound=BaseModel)


async def read_signed(
    request: BaseRequest,
    model: type[ModelT],
    keys: PeerKeys,
    context: bytes,
    failure: str,
) -> Result[ModelT, Response]:
    """
    Return the body of a POST that is signed with a key of the hosts.

    :param context: what the MAC covers besides the body.
    :param failure: the log line if the MAC is not valid.
    :return: an error response for any other request.
    """
    if request.method != 'POST':
        return Err(Response(status=_METHOD_NOT_ALLOWED))
    received = await _receive(request)
    if isinstance(received, Err):
        return received
    body = keys.verify_datagram(context, received.ok_value)
    if body is None:
        _log.warning(failure)
        return Err(Response(status=_FORBIDDEN))
    try:
        return Ok(model.model_validate_json(body))
    except ValidationError as error:
        return Err(Response(status=_BAD_REQUEST, text=f'{error}\n'))


async def _receive(request: BaseRequest) -> Result[bytes, Response]:
    """Return a whole body; its room is held only until it has been read."""
    received = await receive_body(request, _MAX_BODY_BYTES, _IDLE_SECONDS)
    cast('GuardedConnection', request.protocol).close_room()
    if isinstance(received, Ok):
        return Ok(bytes(received.ok_value))
    failure = received.err_value
    if isinstance(failure, RoomRefusal):
        response = Response(status=_UNAVAILABLE)
        response.headers['Retry-After'] = f'{failure.retry_after_seconds:.2f}'
    else:
        response = Response(
            status=STATUS_BY_FAILURE[failure], text=f'{failure.value}\n'
        )
    response.force_close()
    return Err(response)


__all__ = ('read_signed',)
