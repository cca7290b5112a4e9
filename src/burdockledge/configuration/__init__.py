"""The versioned configuration: document, state machine and replication."""

from __future__ import annotations

from burdockledge.configuration._bootstrap import Bootstrap
from burdockledge.configuration._document import (
    BackendKind,
    BackendServer,
    BackendState,
    Document,
    Operator,
    Policy,
    RequestClass,
    Team,
    hash_key,
)
from burdockledge.configuration._index import ConfigurationIndex, TeamEntry
from burdockledge.configuration._records import (
    PatchRecord,
    SnapshotRecord,
    merge_patch,
)
from burdockledge.configuration._service import CONFIG_STREAM, Configuration
from burdockledge.configuration._state_machine import (
    INITIAL_STATE,
    AppliedState,
    PatchOutcome,
    PatchStatus,
    apply_record,
)

__all__ = (
    'CONFIG_STREAM',
    'INITIAL_STATE',
    'BackendKind',
    'BackendServer',
    'BackendState',
    'Bootstrap',
    'Configuration',
    'ConfigurationIndex',
    'Document',
    'AppliedState',
    'Operator',
    'PatchOutcome',
    'PatchRecord',
    'PatchStatus',
    'Policy',
    'RequestClass',
    'SnapshotRecord',
    'Team',
    'TeamEntry',
    'apply_record',
    'hash_key',
    'merge_patch',
)
