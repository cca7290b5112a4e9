"""Follows the configuration stream, replicates it and publishes patches."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from burdockledge.configuration._bootstrap import Bootstrap
from burdockledge.configuration._document import Document
from burdockledge.configuration._history import History
from burdockledge.configuration._index import ConfigurationIndex
from burdockledge.configuration._records import PatchRecord, SnapshotRecord
from burdockledge.configuration._state_machine import (
    INITIAL_STATE,
    AppliedState,
    PatchOutcome,
    PatchStatus,
    apply_record,
)
from burdockledge.kernel import TaskGroupService
from burdockledge.platform_api import LogPage, LogRecord, PlatformFailure
from burdockledge.telemetry import make_logger
from burdockledge.wire import ConfigurationPull, ConfigurationState

if TYPE_CHECKING:
    from burdockledge.membership import Membership
    from burdockledge.peers import PeerBus
    from burdockledge.platform_api import LogClient
    from burdockledge.telemetry import TimeLine

_log = make_logger('configuration')

CONFIG_STREAM: Final = 'configuration'
_POLL_SECONDS: Final = 1
_RETRY_SECONDS: Final = 0.3
_MIN_PULL_INTERVAL_SECONDS: Final = 0.5
_SNAPSHOTS_PER_RETENTION: Final = 4
_MS_PER_SECOND: Final = 1000

Listener = Callable[[AppliedState], None]


class Configuration(TaskGroupService):
    """The configuration in force on this host; its version never decreases."""

    name = 'configuration'

    def __init__(
        self,
        log: LogClient,
        bus: PeerBus,
        membership: Membership,
        time_line: TimeLine,
        retention_seconds: float,
    ) -> None:
        """Create a configuration without a state."""
        super().__init__()
        self._log_client = log
        self._bus = bus
        self._membership = membership
        self._time_line = time_line
        self._retention_ms = retention_seconds * _MS_PER_SECOND
        self._state: AppliedState | None = None
        self._index = ConfigurationIndex(Document())
        self._history = History()
        self._ready = asyncio.Event()
        self._state_changed = asyncio.Condition()
        self._listeners: list[Listener] = []
        self._peer_offsets: dict[str, int] = {}
        self._pulled_at = float('-inf')
        self._snapshot_at_ms = 0

    @property
    def state(self) -> AppliedState | None:
        """The state after the last applied record, None until one is known."""
        return self._state

    @property
    def document(self) -> Document:
        """The document in force; empty until one is known."""
        return Document() if self._state is None else self._state.document

    @property
    def index(self) -> ConfigurationIndex:
        """Lookup tables of the document in force."""
        return self._index

    @property
    def offset(self) -> int:
        """The offset of the last applied record, -1 before the first."""
        return -1 if self._state is None else self._state.offset

    @property
    def history(self) -> History:
        """The newest records and patch outcomes."""
        return self._history

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with the state of each new version."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Subscribe to messages of peers and start to follow the log."""
        self._bus.subscribe(ConfigurationPull, self._on_pull)
        self._bus.subscribe(ConfigurationState, self._on_state)
        self._membership.configuration_offset = lambda: self.offset
        self._membership.on_configuration_offset = self._on_peer_offset
        self.supervise(self._follow_log)

    async def wait_ready(self) -> None:
        """Wait until a state is known."""
        await self._ready.wait()

    async def publish(
        self,
        patch: PatchRecord,
        seconds: float,
    ) -> Result[PatchOutcome, PlatformFailure]:
        """
        Append a patch to the log and wait for its outcome.

        Appending it again after a lost response is harmless: the second record
        is stale, and the first outcome for the patch id is the one reported.

        :param seconds: time limit.
        :return: the outcome; after the time limit ``not_appended`` if every
            finished attempt failed with it, else ``in_doubt``.
        """
        failures: list[PlatformFailure | None] = []
        try:
            async with asyncio.timeout(seconds):
                return Ok(await self._append_until_outcome(patch, failures))
        except TimeoutError:
            failed = PlatformFailure.not_appended
            in_doubt = any(failure is not failed for failure in failures)
            return Err(PlatformFailure.in_doubt if in_doubt else failed)

    async def _append_until_outcome(
        self, patch: PatchRecord, failures: list[PlatformFailure | None]
    ) -> PatchOutcome:
        """Append a patch until its outcome is known, collecting failures."""
        body = patch.model_dump_json()
        while True:
            outcome = self._history.outcome(patch.id)
            if outcome is not None:
                return await self._wait_for_replica(outcome)
            appended = await self._log_client.append(CONFIG_STREAM, body)
            failures.append(appended.err())
            await self._wait_for_outcome(patch.id, failures[-1])

    async def _wait_for_outcome(
        self,
        patch_id: str,
        failure: PlatformFailure | None,
    ) -> None:
        seconds = _POLL_SECONDS if failure is None else _RETRY_SECONDS
        try:
            async with asyncio.timeout(seconds), self._state_changed:
                await self._state_changed.wait_for(
                    lambda: self._history.outcome(patch_id) is not None,
                )
        except TimeoutError:
            return

    async def _wait_for_replica(self, outcome: PatchOutcome) -> PatchOutcome:
        """Wait up to a second until another host has an accepted patch."""
        if outcome.status is not PatchStatus.accepted:
            return outcome
        others = self._membership.table.probe_targets()
        for member in others[:2]:
            self._send_state(member.host, outcome.offset - 1)
        try:
            async with asyncio.timeout(_POLL_SECONDS), self._state_changed:
                await self._state_changed.wait_for(
                    lambda: not others or self._is_replicated(outcome.offset),
                )
        except TimeoutError:
            _log.warning(
                'No peer confirmed the patch in time.', version=outcome.version
            )
        return outcome

    def _is_replicated(self, offset: int) -> bool:
        return any(known >= offset for known in self._peer_offsets.values())

    async def _follow_log(self) -> None:
        bootstrap = Bootstrap()
        position = 0
        while True:
            if self._state is not None:
                position = self._state.offset + 1
            wait = 0.0 if self._state is None else _POLL_SECONDS
            page_result = await self._log_client.read(
                CONFIG_STREAM,
                position,
                wait,
            )
            if isinstance(page_result, Err):
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            position = page_result.ok_value.next_offset
            await self._process_page(page_result.ok_value, bootstrap)

    async def _process_page(self, page: LogPage, bootstrap: Bootstrap) -> None:
        """Apply a page, or search it for a first state."""
        offset_before = self.offset
        if self._state is None:
            state = bootstrap.feed(page)
            if state is not None:
                self._install_first_state(state, page.records)
        else:
            self._apply_page(page)
        await self._notify_waiters()
        await self._append_snapshot_if_due(page)
        expects_progress = self._state is None or bool(page.records)
        if expects_progress and self.offset == offset_before:
            # Records are missing: wait for a peer or a snapshot to supply them.
            await asyncio.sleep(_RETRY_SECONDS)

    def _install_first_state(
        self,
        state: AppliedState,
        records: tuple[LogRecord, ...],
    ) -> None:
        for record in records:
            self._history.add(record, None)
        self._install(state)

    def _apply_page(self, page: LogPage) -> None:
        """Apply a page; peers or snapshots supply missing records."""
        for record in page.records:
            if record.offset == self.offset + 1:
                self._apply_record(record)
        if self._state is None or page.earliest <= self.offset + 1:
            return
        state = Bootstrap().feed(page)
        if state is not None and state.offset > self.offset:
            self._install(state)

    def _apply_record(self, record: LogRecord) -> None:
        if self._state is None:
            return
        state, outcome = apply_record(self._state, record)
        self._history.add(record, outcome)
        if outcome is not None:
            self._time_line.record(
                'patch',
                outcome.patch_id,
                f'version-{outcome.version}',
                detail=outcome.status.value,
            )
        self._install(state)

    def _install(self, state: AppliedState) -> None:
        previous = self._state
        if previous is not None and state.offset < previous.offset:
            raise RuntimeError('configuration offset would decrease')
        self._state = state
        self._ready.set()
        if previous is not None and previous.version == state.version:
            return
        self._index = ConfigurationIndex(state.document)
        self._time_line.record('version', f'version-{state.version}')
        _log.info('Version is in force.', version=state.version)
        for listener in self._listeners:
            listener(state)

    async def _notify_waiters(self) -> None:
        async with self._state_changed:
            self._state_changed.notify_all()

    def _on_peer_offset(self, host: str, offset: int) -> None:
        self._peer_offsets[host] = offset
        self.spawn(self._notify_waiters())
        now = asyncio.get_running_loop().time()
        if (
            offset > self.offset
            and now - self._pulled_at > _MIN_PULL_INTERVAL_SECONDS
        ):
            self._pulled_at = now
            self._bus.send(host, ConfigurationPull(self.offset))

    def _on_pull(self, sender: str, pull: ConfigurationPull) -> None:
        self._send_state(sender, pull.after_offset)

    def _send_state(self, host: str, after_offset: int) -> None:
        state = self._state
        if state is None or state.offset <= after_offset:
            return
        records = self._history.records_after(after_offset)
        self._bus.send(
            host,
            ConfigurationState(
                offset=state.offset,
                version=state.version,
                document='' if records else json.dumps(state.raw),
                records=records or [],
            ),
        )

    def _on_state(self, sender: str, peer_state: ConfigurationState) -> None:
        if peer_state.offset <= self.offset:
            return
        if peer_state.records:
            self._apply_peer_records(peer_state)
        elif peer_state.document:
            self._install_peer_document(sender, peer_state)
        self.spawn(self._notify_waiters())

    def _apply_peer_records(self, peer_state: ConfigurationState) -> None:
        if self._state is None and peer_state.records[0].offset == 0:
            self._install(INITIAL_STATE)
        for record in peer_state.records:
            if self._state is not None and record.offset == self.offset + 1:
                self._apply_record(
                    LogRecord(
                        offset=record.offset,
                        at_ms=record.at_ms,
                        body=record.body,
                    ),
                )

    def _install_peer_document(
        self, sender: str, peer_state: ConfigurationState
    ) -> None:
        try:
            raw = json.loads(peer_state.document)
            document = Document.model_validate(raw)
        except (ValueError, RecursionError):
            _log.warning('Peer sent an invalid document.', peer=sender)
            return
        self._install(
            AppliedState(peer_state.offset, peer_state.version, raw, document)
        )

    async def _append_snapshot_if_due(self, page: LogPage) -> None:
        """Append a snapshot well before the log drops the records it covers."""
        state = self._state
        interval_ms = self._retention_ms / _SNAPSHOTS_PER_RETENTION
        if state is None or state.version == 0:
            return
        for record in page.records:
            if record.body.startswith('{"kind":"snapshot"'):
                self._snapshot_at_ms = record.at_ms
        if page.now_ms - self._snapshot_at_ms < interval_ms:
            return
        candidate_hosts = (
            member.host for member in self._membership.table.alive_or_suspect()
        )
        if min(candidate_hosts, default='') != self._bus.own_host:
            return
        snapshot = SnapshotRecord(
            offset=state.offset,
            version=state.version,
            document=state.raw,
        )
        appended = await self._log_client.append(
            CONFIG_STREAM,
            snapshot.model_dump_json(),
        )
        if isinstance(appended, Ok):
            self._snapshot_at_ms = page.now_ms
            self._time_line.record('snapshot', f'version-{state.version}')


__all__ = ('CONFIG_STREAM', 'Configuration')
