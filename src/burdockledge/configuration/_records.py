"""The records of the configuration stream."""

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

JsonObject = dict[str, Any]


class PatchRecord(BaseModel):
    """
    A change of the configuration that is based on version ``base``.

    ``patch`` is a JSON merge patch (RFC 7396) of the document.
    """

    model_config = ConfigDict(frozen=True, extra='forbid')

    kind: Literal['patch'] = 'patch'
    id: str = Field(min_length=1, max_length=64)
    base: int = Field(ge=0)
    author: str = Field(default='', max_length=64)
    patch: JsonObject


class SnapshotRecord(BaseModel):
    """The state after all records up to and including an offset."""

    model_config = ConfigDict(frozen=True, extra='forbid')

    kind: Literal['snapshot'] = 'snapshot'
    offset: int = Field(ge=-1)
    version: int = Field(ge=0)
    document: JsonObject


StreamRecord = Annotated[
    PatchRecord | SnapshotRecord,
    Field(discriminator='kind'),
]
RECORD_ADAPTER: TypeAdapter[PatchRecord | SnapshotRecord] = TypeAdapter(
    StreamRecord
)


def merge_patch(target: object, patch: object) -> Any:
    """
    Return the target with a JSON merge patch applied, as a copy.

    Source: RFC 7396, section 2.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, change in patch.items():
        if change is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), change)
    return merged


__all__ = ('RECORD_ADAPTER', 'JsonObject', 'PatchRecord', 'SnapshotRecord')
