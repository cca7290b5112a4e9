"""The records of the claims stream; hosts append them in batches."""

import enum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field


class Outcome(enum.Enum):
    """What happened to a request, as reported to its caller."""

    completed = 'completed'
    not_run = 'not-run'
    unknown = 'unknown'


class ClaimEntry(BaseModel):
    """
    A request of a host for the sole right to run a key.

    ``key`` is the digest of team and key, ``made_ms`` the key's creation time
    by the caller's wall clock, and ``body`` the digest of the request body.
    """

    model_config = ConfigDict(frozen=True)

    kind: Literal['claim'] = 'claim'
    key: str
    made_ms: int
    body: str
    nonce: str


class FinalEntry(BaseModel):
    """
    The outcome of a key's request, recorded by the key's holder.

    ``key`` is the digest of team and key, ``nonce`` that of the holder's claim.
    ``status``, ``content_type`` and ``answer`` are the HTTP response, with the
    body in base64. Status is 0 and body is empty if the response is too large
    to keep or there is none.
    """

    model_config = ConfigDict(frozen=True)

    kind: Literal['final'] = 'final'
    key: str
    nonce: str
    outcome: Outcome
    status: int = 0
    content_type: str = ''
    answer: str = ''


Entry = Annotated[ClaimEntry | FinalEntry, Field(discriminator='kind')]


class ClaimBatch(BaseModel):
    """
    Entries that one process of an entry host appends as one log record.

    ``boot`` identifies the process among those of its host.
    """

    model_config = ConfigDict(frozen=True)

    host: str
    boot: int
    entries: tuple[Entry, ...]


__all__ = ('ClaimBatch', 'ClaimEntry', 'Entry', 'FinalEntry', 'Outcome')
