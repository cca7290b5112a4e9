"""``burdockledge config show|patch|history``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final
from uuid import uuid4

from pydantic import Field
from result import Err, Ok, Result

from burdockledge.cli._client import OperatorSettings, call_host
from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    print_result,
    run_async,
)

if TYPE_CHECKING:
    from burdockledge.cli._client import Reply

_CONFIGURATION_PATH: Final = '/admin/configuration'
_STATUS_CONFLICT: Final = 409
_STATUS_UNPROCESSABLE: Final = 422
_STATUS_OK: Final = 200
_PUBLISH_ATTEMPTS: Final = 3


class PatchSettings(OperatorSettings):
    """Settings of ``config patch``."""

    base: int = Field(
        ge=0,
        description='configuration version that the patch is based on',
    )
    file: Path = Field(
        description='JSON merge patch (RFC 7396) of the document; - for stdin',
    )
    id: str = Field(
        default='',
        max_length=64,
        description='id of the patch; reuse it to retry an undecided publish',
    )


class ConfigShow(Command[OperatorSettings]):
    """Print the configuration in force on an entry host."""

    words = ('config', 'show')
    summary = 'print the configuration in force'
    settings_model = OperatorSettings

    def run(self, settings: OperatorSettings) -> ExitCode:
        """Print the version and the document."""
        return run_async(self._show(settings))

    async def _show(self, settings: OperatorSettings) -> ExitCode:
        response = await call_host(settings, 'GET', _CONFIGURATION_PATH)
        if isinstance(response, Err):
            return response.err_value
        body = response.ok_value.document
        text = json.dumps(body['document'], indent=2)
        print_result(
            f'version {body["version"]}\n{text}',
            body,
            settings.output,
        )
        return ExitCode.ok


class ConfigHistory(Command[OperatorSettings]):
    """Print the newest patches and their outcomes."""

    words = ('config', 'history')
    summary = 'print the newest patches and their outcomes'
    settings_model = OperatorSettings

    def run(self, settings: OperatorSettings) -> ExitCode:
        """Print one line for each patch."""
        return run_async(self._history(settings))

    async def _history(self, settings: OperatorSettings) -> ExitCode:
        response = await call_host(
            settings, 'GET', f'{_CONFIGURATION_PATH}/history'
        )
        if isinstance(response, Err):
            return response.err_value
        patches = response.ok_value.document['patches']
        lines = (
            f'{patch["offset"]:>6}  {patch["status"]:<9} '
            f'base {patch["base"]} -> version {patch["version"]}  '
            f'{patch["author"]}  {patch["patch_id"]}  {patch["detail"]}'
            for patch in patches
        )
        print_result('\n'.join(lines), patches, settings.output)
        return ExitCode.ok


class ConfigPatch(Command[PatchSettings]):
    """Publish a patch that is based on a given version."""

    words = ('config', 'patch')
    summary = 'publish a patch of the configuration'
    settings_model = PatchSettings

    def run(self, settings: PatchSettings) -> ExitCode:
        """Publish the patch, retrying a failed call, and print the outcome."""
        loaded = _read_patch(settings.file)
        if isinstance(loaded, Err):
            print_error(loaded.err_value)
            return ExitCode.usage
        return run_async(self._publish(settings, loaded.ok_value))

    async def _publish(
        self,
        settings: PatchSettings,
        patch: dict[str, Any],
    ) -> ExitCode:
        body = {
            'id': settings.id or str(uuid4()),
            'base': settings.base,
            'patch': patch,
        }
        result = ExitCode.undecided
        for _ in range(_PUBLISH_ATTEMPTS):
            response = await call_host(
                settings,
                'POST',
                f'{_CONFIGURATION_PATH}/patches',
                body=body,
            )
            if isinstance(response, Err):
                result = response.err_value
                if result is ExitCode.refused:
                    return result
                continue
            result = _print_outcome(response.ok_value, settings.output)
            if result is not ExitCode.undecided:
                return result
        print_error(
            f'the outcome is unknown: retry with --id={body["id"]}',
        )
        return result


def _read_patch(path: Path) -> Result[dict[str, Any], str]:
    try:
        is_stdin = str(path) == '-'
        text = sys.stdin.read() if is_stdin else path.read_text('utf-8')
        patch = json.loads(text)
    except (OSError, ValueError) as error:
        return Err(f'file: {error}')
    if not isinstance(patch, dict):
        return Err('file: the patch must be a JSON object')
    return Ok(patch)


def _print_outcome(reply: Reply, output: str) -> ExitCode:
    outcome = reply.document
    if reply.status not in {
        _STATUS_OK,
        _STATUS_CONFLICT,
        _STATUS_UNPROCESSABLE,
    }:
        print_error(
            outcome.get('error', {}).get('message', 'the outcome is unknown'),
        )
        return ExitCode.undecided
    text = f'{outcome["status"]}: version {outcome["version"]} is in force'
    if outcome['detail']:
        text = f'{text}; {outcome["detail"]}'
    print_result(text, outcome, output)
    return ExitCode.ok if reply.status == _STATUS_OK else ExitCode.refused


__all__ = ('ConfigHistory', 'ConfigPatch', 'ConfigShow')
