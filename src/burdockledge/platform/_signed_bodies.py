"""Reads the signed requests of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

from aiohttp.web_response import Response
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from burdockledge.peers import PeerKeys

_log = make_logger('operators')

_BAD_REQUEST: Final = 400
_FORBIDDEN: Final = 403
_METHOD_NOT_ALLOWED: Final = 405

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
    body = keys.verify_datagram(context, await request.read())
    if body is None:
        _log.warning(failure)
        return Err(Response(status=_FORBIDDEN))
    try:
        return Ok(model.model_validate_json(body))
    except ValidationError as error:
        return Err(Response(status=_BAD_REQUEST, text=f'{error}\n'))


__all__ = ('read_signed',)
