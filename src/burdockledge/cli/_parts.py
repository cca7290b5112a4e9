"""``burdockledge parts``: see and release prompt parts that crash servers."""

from __future__ import annotations

from typing import Any, Final, Literal

import aiohttp
from pydantic import Field
from result import Err, Ok, Result

from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    print_result,
    run_async,
)
from burdockledge.peers import PeerKeys, PeerKeysError
from burdockledge.platform import PARTS_PATH, RELEASE_CONTEXT, PartRelease
from burdockledge.settings import CommaList, CommandSettings

_TIMEOUT_SECONDS: Final = 5
_OK: Final = 200
_NOT_FOUND: Final = 404


class PartsSettings(CommandSettings):
    """Settings of ``parts``."""

    control_address: str = Field(
        pattern=r'^[0-9a-fA-F.:\[\]]+:\d{1,5}$',
        description='IP:port at which an entry host serves its metrics',
    )
    output: Literal['text', 'json'] = Field(
        default='text',
        description='output format: text or json',
    )


class ReleaseSettings(PartsSettings):
    """Settings of ``parts release``."""

    peer_keys: CommaList = Field(
        description='keys shared by all entry hosts; the first one signs',
    )
    service: str = Field(description='service whose servers crashed')
    part: str = Field(
        pattern='^[0-9a-f]+$',
        description='id of the prompt part, in hexadecimal',
    )


class Parts(Command[PartsSettings]):
    """List the prompt parts that an entry host blocks or suspects."""

    words = ('parts', 'list')
    summary = 'list prompt parts that crash servers'
    settings_model = PartsSettings

    def run(self, settings: PartsSettings) -> ExitCode:
        """Print one line for each part."""
        return run_async(self._list(settings))

    async def _list(self, settings: PartsSettings) -> ExitCode:
        answer = await _call(settings, 'GET')
        if isinstance(answer, Err):
            return answer.err_value
        _, document = answer.ok_value
        lines = [
            f'{part["part"]} of {part["service"]}: {part["state"]} after '
            f'{part["crashes"]} crashes, the last one '
            f'{part["last_crash_seconds"]} s ago'
            for part in document['parts']
        ]
        print_result('\n'.join(lines) or 'none', document, settings.output)
        return ExitCode.ok


class ReleasePart(Command[ReleaseSettings]):
    """Release a blocked prompt part on all entry hosts."""

    words = ('parts', 'release')
    summary = 'release a blocked prompt part'
    settings_model = ReleaseSettings

    def run(self, settings: ReleaseSettings) -> ExitCode:
        """Tell one host, which tells the others."""
        return run_async(self._release(settings))

    async def _release(self, settings: ReleaseSettings) -> ExitCode:
        release = PartRelease(service=settings.service, part=settings.part)
        try:
            keys = PeerKeys(settings.peer_keys, None)
        except PeerKeysError as error:
            print_error(str(error))
            return ExitCode.usage
        body = keys.sign_datagram(
            RELEASE_CONTEXT, release.model_dump_json().encode()
        )
        answer = await _call(settings, 'POST', body)
        if isinstance(answer, Err):
            return answer.err_value
        status, document = answer.ok_value
        if status == _OK:
            print_result('released', document, settings.output)
            return ExitCode.ok
        if status == _NOT_FOUND:
            print_error('part: neither blocked nor suspected')
        else:
            print_error(f'peer_keys: refused with {status}')
        return ExitCode.refused


async def _call(
    settings: PartsSettings, method: str, body: bytes | None = None
) -> Result[tuple[int, Any], ExitCode]:
    """Return the status and, for 200, the document of the response."""
    url = f'http://{settings.control_address}{PARTS_PATH}'
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=body) as response,
        ):
            document = await response.json() if response.status == _OK else {}
            return Ok((response.status, document))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        print_error(f'control_address: no response ({reason})')
        return Err(ExitCode.unreachable)


__all__ = ('Parts', 'ReleasePart')
