"""Measures how processor time, memory and bytes grow with each size."""

from __future__ import annotations

import json
import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING, Any, Final

from burdockledge.bench._fit import Line, fit_line
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

_TEAM_SIZES: Final = (500, 2000, 5000, 9500)
_CLAIM_SIZES: Final = (2000, 5000, 10_000, 20_000)
_QUEUE_SIZES: Final = (1000, 10_000, 40_000, 100_000)
_SERVER_SIZES: Final = (10, 30, 100, 300)
_BATCH_SIZES: Final = (1, 4, 16, 64)
_CALIBRATION_ROUNDS: Final = 200_000
_REPEATS: Final = 5
_WIRE_ROUNDS: Final = 200
_LEAD_ROUNDS: Final = 2000
_LIFETIME_MS: Final = 3_600_000
_CLAIMS_A_BATCH: Final = 20
_ANSWER_BYTES: Final = 200


def measure_slopes() -> dict[str, Line]:
    """
    Return the measured lines by name.

    Processor times are in calibrations: multiples of the time of a fixed
    loop in the same run. Memory and messages are in bytes.
    """
    unit = _calibrate()
    lines: dict[str, Line] = {}
    lines.update(_team_slopes(unit))
    lines.update(_start_slopes(unit))
    lines.update(_claim_slopes(unit))
    lines.update(_lead_slopes(unit))
    lines.update(_wire_slopes(unit))
    return lines


def calibration_seconds() -> float:
    """Return the processor time of the calibration loop in seconds."""
    return _calibrate()


def _calibrate() -> float:
    return _best(_calibration_loop)


def _calibration_loop() -> int:
    folded = 0
    for number in range(_CALIBRATION_ROUNDS):
        folded ^= number & 7
    return folded


def _best(work: Callable[..., object], *arguments: object) -> float:
    """Return the least processor time of several runs, in seconds."""
    times: list[float] = []
    for _ in range(_REPEATS):
        began = time.process_time()
        work(*arguments)
        times.append(time.process_time() - began)
    return min(times)


def _allocated(make: Callable[..., object], argument: object) -> int:
    """Return the bytes that the object made of an argument holds."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept: list[object] = []
    kept.append(make(argument))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def _document(teams: int) -> dict[str, Any]:
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


def _patched(teams: int) -> AppliedState:
    record = PatchRecord(id='first', base=0, patch=_document(teams))
    body = record.model_dump_json()
    state, _ = apply_record(
        INITIAL_STATE, LogRecord(offset=0, at_ms=0, body=body)
    )
    return state


def _team_slopes(unit: float) -> dict[str, Line]:
    memory: list[float] = []
    processor: list[float] = []
    snapshot: list[float] = []
    for teams in _TEAM_SIZES:
        memory.append(_allocated(_indexed, teams))
        state = _patched(teams)
        patch = PatchRecord(
            id='second',
            base=1,
            patch={'teams': {'team-0': {'weight': 2}}},
        )
        record = LogRecord(offset=1, at_ms=0, body=patch.model_dump_json())
        processor.append(_best(_apply, state, record) / unit)
        body = SnapshotRecord(
            offset=state.offset,
            version=state.version,
            document=state.raw,
        )
        snapshot.append(len(body.model_dump_json()))
    return {
        'configuration_memory_bytes_by_team': fit_line(_TEAM_SIZES, memory),
        'patch_calibrations_by_team': fit_line(_TEAM_SIZES, processor),
        'snapshot_bytes_by_team': fit_line(_TEAM_SIZES, snapshot),
    }


def _indexed(teams: int) -> object:
    state = _patched(teams)
    return state, ConfigurationIndex(state.document)


def _apply(state: AppliedState, record: LogRecord) -> None:
    folded, _ = apply_record(state, record)
    ConfigurationIndex(folded.document)


def _start_slopes(unit: float) -> dict[str, Line]:
    """Measure what a host that starts takes from a peer."""
    sent: list[float] = []
    processor: list[float] = []
    for teams in _TEAM_SIZES:
        state = _patched(teams)
        told = ConfigurationState(
            offset=state.offset,
            version=state.version,
            document=json.dumps(state.raw),
            records=[],
        )
        encoded = encode_frame(Frame(state=told))
        sent.append(len(encoded))
        processor.append(_best(_start_from, encoded) / unit)
    return {
        'start_bytes_by_team': fit_line(_TEAM_SIZES, sent),
        'start_calibrations_by_team': fit_line(_TEAM_SIZES, processor),
    }


def _start_from(encoded: bytes) -> None:
    """Take a configuration as a starting host does."""
    told = decode_frame(encoded).state
    if told is None:
        raise RuntimeError('the frame holds no configuration')
    raw = json.loads(told.document)
    ConfigurationIndex(Document.model_validate(raw))


def _claim_records(count: int) -> list[LogRecord]:
    records: list[LogRecord] = []
    answer = 'x' * _ANSWER_BYTES
    for first in range(0, count, _CLAIMS_A_BATCH):
        names = [f'{first + at:032x}' for at in range(_CLAIMS_A_BATCH)]
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
    table = ClaimTable(KeyWindow(_LIFETIME_MS))
    table.update_log_bounds(0, 1)
    for record in records:
        table.apply(record)
    return table


def _claim_slopes(unit: float) -> dict[str, Line]:
    memory: list[float] = []
    processor: list[float] = []
    logged: list[float] = []
    for count in _CLAIM_SIZES:
        records = _claim_records(count)
        memory.append(_allocated(_apply_claims, records))
        processor.append(_best(_apply_claims, records) / unit)
        logged.append(sum(len(record.body) for record in records))
    return {
        'ledger_memory_bytes_by_claim': fit_line(_CLAIM_SIZES, memory),
        'ledger_calibrations_by_claim': fit_line(_CLAIM_SIZES, processor),
        'log_bytes_by_claim': fit_line(_CLAIM_SIZES, logged),
    }


def _offers(count: int, random: Random) -> list[Offer]:
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


def _queued_lead(count: int) -> SlotScheduler:
    lead = SlotScheduler('engine', 1, 1_000_000)
    for offer in _offers(count, Random(1)):
        lead.offer(offer, 'entry-1', 0)
    return lead


def _idle_leads(count: int) -> list[SlotScheduler]:
    return [
        SlotScheduler(f'engine-{number}', 8, 1000) for number in range(count)
    ]


def _serve_turns(lead: SlotScheduler, offers: list[Offer]) -> None:
    """Offer, and end the running one, which grants the next."""
    for number, offer in enumerate(offers):
        lead.offer(offer, 'entry-1', number)
        lead.release(Release(offer.request, 'engine', 0), 'entry-1', number)


def _lead_slopes(unit: float) -> dict[str, Line]:
    memory: list[float] = []
    processor: list[float] = []
    for count in _QUEUE_SIZES:
        memory.append(_allocated(_queued_lead, count))
        lead = _queued_lead(count)
        offers = _offers(_LEAD_ROUNDS, Random(2))
        spent = _best(_serve_turns, lead, offers)
        processor.append(spent / unit / _LEAD_ROUNDS)
    servers = [_allocated(_idle_leads, count) for count in _SERVER_SIZES]
    return {
        'lead_memory_bytes_by_server': fit_line(_SERVER_SIZES, servers),
        'lead_memory_bytes_by_offer': fit_line(_QUEUE_SIZES, memory),
        'lead_calibrations_a_turn_by_offer': fit_line(_QUEUE_SIZES, processor),
    }


def _frame(batch: int) -> Frame:
    offers = _offers(batch, Random(3))
    return Frame(
        offers=offers,
        grants=[Grant(one.request, one.server) for one in offers],
        releases=[Release(one.request, one.server, 300) for one in offers],
        heartbeat=1,
        stamp=1 << 60,
    )


def _wire_slopes(unit: float) -> dict[str, Line]:
    """Measure a frame that holds an offer, a grant and a release each."""
    sizes: list[float] = []
    processor: list[float] = []
    for batch in _BATCH_SIZES:
        frame = _frame(batch)
        sizes.append(len(encode_frame(frame)))
        spent = _best(_recode, frame)
        processor.append(spent / unit / _WIRE_ROUNDS)
    return {
        'frame_bytes_by_triple': fit_line(_BATCH_SIZES, sizes),
        'frame_calibrations_by_triple': fit_line(_BATCH_SIZES, processor),
    }


def _recode(frame: Frame) -> None:
    for _ in range(_WIRE_ROUNDS):
        decode_frame(encode_frame(frame))


__all__ = ('calibration_seconds', 'measure_slopes')
