"""Measures how processor time, memory and bytes grow with the load."""

from __future__ import annotations

import json
import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING, Any, Final

from burdockledge.bench._fit import LinearFit, fit_line
from burdockledge.claims import (
    ClaimBatch,
    ClaimEntry,
    ClaimTable,
    FinalEntry,
    KeyWindow,
    Outcome,
)
from burdockledge.configuration import (
    INITIAL_STATE,
    AppliedState,
    ConfigurationIndex,
    Document,
    PatchRecord,
    SnapshotRecord,
    apply_record,
)
from burdockledge.ordering import SlotScheduler
from burdockledge.platform_api import LogRecord
from burdockledge.wire import (
    ConfigurationState,
    Frame,
    Grant,
    Offer,
    Release,
    decode_frame,
    encode_frame,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_TEAM_COUNTS: Final = (500, 2000, 5000, 9500)
_CLAIM_COUNTS: Final = (2000, 5000, 10_000, 20_000)
_QUEUE_LENGTHS: Final = (1000, 10_000, 40_000, 100_000)
_SERVER_COUNTS: Final = (10, 30, 100, 300)
_BATCH_SIZES: Final = (1, 4, 16, 64)
_CALIBRATION_ROUNDS: Final = 200_000
_REPEATS: Final = 5
_FRAME_ROUNDS: Final = 200
_SCHEDULER_ROUNDS: Final = 2000
_KEY_LIFETIME_MS: Final = 3_600_000
_CLAIMS_PER_BATCH: Final = 20
_ANSWER_BYTES: Final = 200


def measure_scaling() -> dict[str, LinearFit]:
    """
    Return the fitted lines by name.

    Processor times are in calibrations: multiples of the processor time of a
    fixed loop in the same run. Memory and messages are in bytes.
    """
    unit_seconds = _run_calibration()
    lines: dict[str, LinearFit] = {}
    lines.update(_measure_teams(unit_seconds))
    lines.update(_measure_start(unit_seconds))
    lines.update(_measure_claims(unit_seconds))
    lines.update(_measure_schedulers(unit_seconds))
    lines.update(_measure_frames(unit_seconds))
    return lines


def measure_calibration_seconds() -> float:
    """Return the processor time of the calibration loop, in seconds."""
    return _run_calibration()


def _run_calibration() -> float:
    return _least_processor_seconds(_calibration_loop)


def _calibration_loop() -> int:
    checksum = 0
    for number in range(_CALIBRATION_ROUNDS):
        checksum ^= number & 7
    return checksum


def _least_processor_seconds(
    function: Callable[..., object], *arguments: object
) -> float:
    """Return the least processor time of several runs, in seconds."""
    times: list[float] = []
    for _ in range(_REPEATS):
        started_at = time.process_time()
        function(*arguments)
        times.append(time.process_time() - started_at)
    return min(times)


def _allocated_bytes(factory: Callable[..., object], argument: object) -> int:
    """Return the bytes allocated by the object that a factory returns."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept: list[object] = []
    kept.append(factory(argument))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def _make_document(teams: int) -> dict[str, Any]:
    key_hash = 'sha256:{:064x}'.format
    return {
        'servers': {
            'engine': {
                'kind': 'engine',
                'url': 'http://10.0.0.1:1',
                'data_centre': 'dc1',
                'models': ['m'],
            },
        },
        'classes': {
            'counter': {
                'tier': 0,
                'first_token_ms': 1100,
                'servers': ['engine'],
            },
        },
        'teams': {
            f'team-{number}': {
                'key_hashes': [key_hash(number)],
                'classes': ['counter'],
            }
            for number in range(teams)
        },
    }


def _make_fold_state(teams: int) -> AppliedState:
    record = PatchRecord(id='first', base=0, patch=_make_document(teams))
    body = record.model_dump_json()
    state, _ = apply_record(
        INITIAL_STATE, LogRecord(offset=0, at_ms=0, body=body)
    )
    return state


def _measure_teams(unit_seconds: float) -> dict[str, LinearFit]:
    memory_bytes: list[float] = []
    calibrations: list[float] = []
    snapshot_bytes: list[float] = []
    for teams in _TEAM_COUNTS:
        memory_bytes.append(_allocated_bytes(_make_index, teams))
        state = _make_fold_state(teams)
        patch = PatchRecord(
            id='second',
            base=1,
            patch={'teams': {'team-0': {'weight': 2}}},
        )
        record = LogRecord(offset=1, at_ms=0, body=patch.model_dump_json())
        calibrations.append(
            _least_processor_seconds(_apply_patch, state, record) / unit_seconds
        )
        body = SnapshotRecord(
            offset=state.offset,
            version=state.version,
            document=state.raw,
        )
        snapshot_bytes.append(len(body.model_dump_json()))
    return {
        'configuration_memory_bytes_by_team': fit_line(
            _TEAM_COUNTS, memory_bytes
        ),
        'patch_calibrations_by_team': fit_line(_TEAM_COUNTS, calibrations),
        'snapshot_bytes_by_team': fit_line(_TEAM_COUNTS, snapshot_bytes),
    }


def _make_index(teams: int) -> object:
    state = _make_fold_state(teams)
    return state, ConfigurationIndex(state.document)


def _apply_patch(state: AppliedState, record: LogRecord) -> None:
    folded, _ = apply_record(state, record)
    ConfigurationIndex(folded.document)


def _measure_start(unit_seconds: float) -> dict[str, LinearFit]:
    """Measure the configuration that a starting host gets from a peer."""
    sent_bytes: list[float] = []
    calibrations: list[float] = []
    for teams in _TEAM_COUNTS:
        state = _make_fold_state(teams)
        transfer = ConfigurationState(
            offset=state.offset,
            version=state.version,
            document=json.dumps(state.raw),
            records=[],
        )
        encoded = encode_frame(Frame(state=transfer))
        sent_bytes.append(len(encoded))
        calibrations.append(
            _least_processor_seconds(_load_configuration, encoded)
            / unit_seconds
        )
    return {
        'start_bytes_by_team': fit_line(_TEAM_COUNTS, sent_bytes),
        'start_calibrations_by_team': fit_line(_TEAM_COUNTS, calibrations),
    }


def _load_configuration(encoded: bytes) -> None:
    """Decode and index a configuration as a starting host does."""
    transfer = decode_frame(encoded).state
    if transfer is None:
        raise RuntimeError('the frame contains no configuration state')
    raw = json.loads(transfer.document)
    ConfigurationIndex(Document.model_validate(raw))


def _make_claim_records(count: int) -> list[LogRecord]:
    records: list[LogRecord] = []
    answer = 'x' * _ANSWER_BYTES
    for first in range(0, count, _CLAIMS_PER_BATCH):
        names = [f'{first + at:032x}' for at in range(_CLAIMS_PER_BATCH)]
        claims = tuple(
            ClaimEntry(key=name, made_ms=1, body=name, nonce=name[:24])
            for name in names
        )
        finals = tuple(
            FinalEntry(
                key=name,
                nonce=name[:24],
                outcome=Outcome.completed,
                status=200,
                content_type='application/json',
                answer=answer,
            )
            for name in names
        )
        batch = ClaimBatch(host='entry-1', boot=1, entries=claims + finals)
        records.append(
            LogRecord(
                offset=len(records),
                at_ms=1,
                body=batch.model_dump_json(),
            ),
        )
    return records


def _apply_claims(records: list[LogRecord]) -> ClaimTable:
    table = ClaimTable(KeyWindow(_KEY_LIFETIME_MS))
    table.update_log_bounds(0, 1)
    for record in records:
        table.apply(record)
    return table


def _measure_claims(unit_seconds: float) -> dict[str, LinearFit]:
    memory_bytes: list[float] = []
    calibrations: list[float] = []
    log_bytes: list[float] = []
    for count in _CLAIM_COUNTS:
        records = _make_claim_records(count)
        memory_bytes.append(_allocated_bytes(_apply_claims, records))
        calibrations.append(
            _least_processor_seconds(_apply_claims, records) / unit_seconds
        )
        log_bytes.append(sum(len(record.body) for record in records))
    return {
        'ledger_memory_bytes_by_claim': fit_line(_CLAIM_COUNTS, memory_bytes),
        'ledger_calibrations_by_claim': fit_line(_CLAIM_COUNTS, calibrations),
        'log_bytes_by_claim': fit_line(_CLAIM_COUNTS, log_bytes),
    }


def _make_offers(count: int, random: Random) -> list[Offer]:
    return [
        Offer(
            request=random.randbytes(16),
            server='engine',
            tier=number % 6,
            team=f'team-{number % 9500}',
            weight=1,
            wait_budget_ms=100_000_000,
            cost_tokens=300,
        )
        for number in range(count)
    ]


def _make_loaded_scheduler(count: int) -> SlotScheduler:
    scheduler = SlotScheduler('engine', 1, 1_000_000)
    for offer in _make_offers(count, Random(1)):
        scheduler.offer(offer, 'entry-1', 0)
    return scheduler


def _make_idle_schedulers(count: int) -> list[SlotScheduler]:
    return [
        SlotScheduler(f'engine-{number}', 8, 1000) for number in range(count)
    ]


def _schedule_offers(scheduler: SlotScheduler, offers: list[Offer]) -> None:
    """Add each offer, then release it, which grants the next one queued."""
    for number, offer in enumerate(offers):
        scheduler.offer(offer, 'entry-1', number)
        scheduler.release(
            Release(offer.request, 'engine', 0), 'entry-1', number
        )


def _measure_schedulers(unit_seconds: float) -> dict[str, LinearFit]:
    memory_bytes: list[float] = []
    calibrations: list[float] = []
    for count in _QUEUE_LENGTHS:
        memory_bytes.append(_allocated_bytes(_make_loaded_scheduler, count))
        scheduler = _make_loaded_scheduler(count)
        offers = _make_offers(_SCHEDULER_ROUNDS, Random(2))
        total_seconds = _least_processor_seconds(
            _schedule_offers, scheduler, offers
        )
        calibrations.append(total_seconds / unit_seconds / _SCHEDULER_ROUNDS)
    server_memory_bytes = [
        _allocated_bytes(_make_idle_schedulers, count)
        for count in _SERVER_COUNTS
    ]
    return {
        'lead_memory_bytes_by_server': fit_line(
            _SERVER_COUNTS, server_memory_bytes
        ),
        'lead_memory_bytes_by_offer': fit_line(_QUEUE_LENGTHS, memory_bytes),
        'lead_calibrations_a_turn_by_offer': fit_line(
            _QUEUE_LENGTHS, calibrations
        ),
    }


def _make_frame(batch_size: int) -> Frame:
    offers = _make_offers(batch_size, Random(3))
    return Frame(
        offers=offers,
        grants=[Grant(one.request, one.server) for one in offers],
        releases=[Release(one.request, one.server, 300) for one in offers],
        heartbeat=1,
        stamp=1 << 60,
    )


def _measure_frames(unit_seconds: float) -> dict[str, LinearFit]:
    """Measure frames with equal numbers of offers, grants and releases."""
    frame_sizes: list[float] = []
    calibrations: list[float] = []
    for batch_size in _BATCH_SIZES:
        frame = _make_frame(batch_size)
        frame_sizes.append(len(encode_frame(frame)))
        total_seconds = _least_processor_seconds(_encode_and_decode, frame)
        calibrations.append(total_seconds / unit_seconds / _FRAME_ROUNDS)
    return {
        'frame_bytes_by_triple': fit_line(_BATCH_SIZES, frame_sizes),
        'frame_calibrations_by_triple': fit_line(_BATCH_SIZES, calibrations),
    }


def _encode_and_decode(frame: Frame) -> None:
    for _ in range(_FRAME_ROUNDS):
        decode_frame(encode_frame(frame))


__all__ = ('measure_calibration_seconds', 'measure_scaling')
