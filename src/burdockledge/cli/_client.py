"""HTTP client for the operator endpoints of an entry host."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, Literal

import aiohttp
from pydantic import Field
from result import Err, Ok, Result

from burdockledge.cli._command import ExitCode, print_error
from burdockledge.settings import CommandSettings

if TYPE_CHECKING:
    from collections.abc import Mapping

_TIMEOUT_SECONDS: Final = 15
_AUTH_FAILURE_STATUSES: Final = (401, 403)


class OperatorSettings(CommandSettings):
    """Settings shared by the operator commands."""

    entry_host: str = Field(
        pattern='^https?://.+',
        description='URL of an entry host',
    )
    operator_key: str = Field(
        min_length=1,
        description='operator key',
    )
    ca: Path | None = Field(
        default=None,
        description='PEM file of the CA that signs the entry hosts',
    )
    output: Literal['text', 'json'] = Field(
        default='text',
        description='output format: text or json',
    )


@dataclass(frozen=True, slots=True)
class Reply:
    """The HTTP status and the decoded JSON body of a response."""

    status: int
    document: Any


def make_ssl(ca: Path | None) -> ssl.SSLContext | Literal[True]:
    """
    Return the ``ssl`` argument of an aiohttp request.

    :param ca: PEM file of the CA to trust; None trusts the system's CAs.
    """
    if ca is None:
        return True
    return ssl.create_default_context(cafile=str(ca))


async def call_host(
    settings: OperatorSettings,
    method: str,
    path: str,
    query: Mapping[str, str] | None = None,
    body: object = None,
) -> Result[Reply, ExitCode]:
    """
    Call an operator endpoint and decode the JSON body of the response.

    :param path: path of the endpoint, with a leading slash.
    :return: the response whatever its status, or, after printing the error,
        ``refused`` for status 401 or 403 and ``unreachable`` when the host
        does not respond or its body is not JSON.
    """
    url = settings.entry_host.rstrip('/') + path
    headers = {'Authorization': f'Bearer {settings.operator_key}'}
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.request(
                method,
                url,
                params=query,
                json=body,
                ssl=make_ssl(settings.ca),
            ) as response,
        ):
            document = await response.json(content_type=None)
            if response.status in _AUTH_FAILURE_STATUSES:
                print_error('operator_key: rejected by the entry host')
                return Err(ExitCode.refused)
            return Ok(Reply(response.status, document))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        print_error(f'entry_host: no response from {url} ({reason})')
        return Err(ExitCode.unreachable)


__all__ = ('OperatorSettings', 'Reply', 'call_host', 'make_ssl')
