"""The state machine that applies the records of the configuration stream."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from pydantic import ValidationError

from burdockledge.configuration._document import Document
from burdockledge.configuration._records import (
    RECORD_ADAPTER,
    JsonObject,
    PatchRecord,
    SnapshotRecord,
    merge_patch,
)

if TYPE_CHECKING:
    from burdockledge.platform_api import LogRecord


class PatchStatus(enum.Enum):
    """
    Whether a patch was accepted, or why it was rejected.

    ``stale`` is a patch that is not based on the version in force, ``invalid``
    one that would make the document invalid.
    """

    accepted = 'accepted'
    stale = 'stale'
    invalid = 'invalid'


@dataclass(frozen=True, slots=True)
class PatchOutcome:
    """
    The outcome of a patch.

    ``base`` is the version the patch is based on, ``version`` the one in
    force after it, and ``at_ms`` the time of the log record in milliseconds
    since the epoch.
    """

    offset: int
    at_ms: int
    patch_id: str
    author: str
    base: int
    status: PatchStatus
    version: int
    detail: str


@dataclass(frozen=True, slots=True)
class AppliedState:
    """
    The configuration after all records up to and including an offset.

    ``offset`` is -1 before the first record. ``raw`` is the JSON document
    before validation fills in defaults.
    """

    offset: int
    version: int
    raw: JsonObject
    document: Document


INITIAL_STATE: Final = AppliedState(-1, 0, {}, Document())


def apply_record(
    state: AppliedState,
    record: LogRecord,
) -> tuple[AppliedState, PatchOutcome | None]:
    """
    Apply the next record; the result is the same on every host.

    An unreadable record and a snapshot change only the offset.

    :return: the new state, and the outcome if the record is a patch.
    :raises ValueError: if the record is not the one after ``state.offset``.
    """
    if record.offset != state.offset + 1:
        raise ValueError(f'record {record.offset} applied after {state.offset}')
    advanced = replace(state, offset=record.offset)
    try:
        parsed = RECORD_ADAPTER.validate_json(record.body)
    except ValidationError:
        return advanced, None
    if isinstance(parsed, SnapshotRecord):
        return advanced, None
    return _apply_patch(advanced, record, parsed)


def _apply_patch(
    state: AppliedState,
    record: LogRecord,
    patch: PatchRecord,
) -> tuple[AppliedState, PatchOutcome]:
    outcome = PatchOutcome(
        offset=record.offset,
        at_ms=record.at_ms,
        patch_id=patch.id,
        author=patch.author,
        base=patch.base,
        status=PatchStatus.accepted,
        version=state.version,
        detail='',
    )
    if patch.base != state.version:
        detail = f'based on {patch.base}, but in force is {state.version}'
        stale = replace(outcome, status=PatchStatus.stale, detail=detail)
        return state, stale
    raw = merge_patch(state.raw, patch.patch)
    try:
        document = Document.model_validate(raw)
    except ValidationError as error:
        invalid = replace(
            outcome,
            status=PatchStatus.invalid,
            detail=_format_errors(error),
        )
        return state, invalid
    version = state.version + 1
    accepted = replace(outcome, version=version)
    return AppliedState(state.offset, version, raw, document), accepted


def _format_errors(error: ValidationError) -> str:
    lines = (
        f'{".".join(map(str, problem["loc"]))}: {problem["msg"]}'
        for problem in error.errors()
    )
    return '; '.join(line.removeprefix(': ') for line in lines)


__all__ = (
    'INITIAL_STATE',
    'AppliedState',
    'PatchOutcome',
    'PatchStatus',
    'apply_record',
)
