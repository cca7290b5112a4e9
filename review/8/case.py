"""Case 8: see claim.txt. Exits 1 if the rule was broken, 0 if it held."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from standins_2.caller import Answer, Channel
from standins_2.engine import HEARTBEAT_SECONDS, Engine, Run
from standins_2.host import Host
from standins_2.script import run_script
from standins_2.store import Store

HERE = Path(__file__).resolve().parent

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# srv_crash, how gone: one of the runners each time, lost for good.
CRASHES_AT = (2.0, 4.0)
# The registrations of lost runners are removed after three heartbeats.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
WAVES_AT = (10.0, 15.0)
# The urgent requests of a wave come this long after the others.
URGENT_AFTER_SECONDS = 0.6
ENGINES, PLACES, QUEUE = 3, 20, 40
# Path, requests in a wave, events, seconds for each, time limit in ms, and the
# gap after which consumers leave (2 s, 4 objectives or 8 pauses).
SPEC = ('/spec/', 8, 10, 0.15, 5000, 4.0)
CONDOLENCE = ('/condolence/', 20, 34, 0.06, 10000, 2.4)
MOST_LOST = 3


def configuration() -> dict:
    """Return the routes of two kinds of request, as on the sheet."""
    def route(name: str, path: str, **fields: object) -> dict:
        return {
            'name': name, 'hostname': 'desk.example', 'path_prefix': path,
            'route_type': 'streaming', 'backend': 'wording-desk',
            'public': False, 'session_affinity': True, **fields,
        }

    return {
        'version': 3,
        'routes': [
            route(
                'spec-check', '/spec/', timeout_ms=5000, target_latency_ms=600,
                priority=1, max_attempts=2, stream_resume=True, gap_aim_ms=500,
            ),
            route(
                'condolence-draft', '/condolence/', timeout_ms=10000,
                target_latency_ms=400, priority=0, max_attempts=1,
                stream_resume=False, gap_aim_ms=300,
            ),
        ],
        'backends': [{
            'name': 'wording-desk', 'health_path': '/health',
            'max_connections': 630, 'protocol': 'h1', 'tls': False,
            'engine': {'slots': PLACES, 'kv_capacity': 796744},
        }],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'shop', 'api_keys': ['k-shop'], 'priority': 1}],
    }


class Traffic:
    """Consumers with kept channels; each has one request in each wave."""

    def __init__(self, host: Host) -> None:
        self._channels = {
            (kind[0], number): Channel(host.front)
            for kind in (SPEC, CONDOLENCE)
            for number in range(kind[1])
        }
        self.answers: list[Answer] = []

    async def wave(self) -> None:
        """Send a request on each channel, the urgent ones a little later."""
        spec = self._send(SPEC)
        await asyncio.sleep(URGENT_AFTER_SECONDS)
        await asyncio.gather(*spec, *self._send(CONDOLENCE))

    async def warm_up(self) -> None:
        """Have one request answered on each channel, in small groups."""
        for kind in (SPEC, CONDOLENCE):
            for first in range(0, kind[1], 10):
                numbers = range(first, min(kind[1], first + 10))
                await asyncio.gather(*(self._call(kind, one) for one in numbers))
        self.answers.clear()

    def _send(self, kind: tuple) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(self._call(kind, number))
            for number in range(kind[1])
        ]

    async def _call(self, kind: tuple, number: int) -> None:
        path, _, _, _, deadline_ms, gap = kind
        answer = await self._channels[path, number].call(
            f'{path}a', deadline_ms,
            {
                'Authorization': 'Token k-shop', 'Burdockledge-Model': 'm',
                'Burdockledge-Token-Count': '1460,80',
                'Burdockledge-Prompt-Prefix': f'5c1e07a2:350,a{number:x}:1110',
            },
            b'{"prompt": "..."}', path.strip('/'), gap,
        )
        self.answers.append(answer)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()


def is_lost(answer: Answer, own: list[Run]) -> bool:
    """
    Return whether LOST counts a request.

    The runner that it was passed on to is up and had it, its channel was
    closed without a whole answer, and the consumer still waited.
    """
    return answer.why.startswith('channel ended') and any(
        run.end == 'cut' and not run.is_crashed for run in own
    )


async def lose(store: Store, engine: Engine) -> None:
    """Crash a runner for good; its registration expires."""
    engine.crash()
    await asyncio.sleep(EXPIRY_SECONDS)
    store.put('keyed.servers', engine.name, None)


async def play(folder: Path) -> int:
    store = Store()
    await store.start()
    store.put('keyed.op', 'config', configuration())
    streams = {kind[0]: (kind[2], kind[3]) for kind in (SPEC, CONDOLENCE)}
    engines = [
        Engine(f'i-{number}', 'wording-desk', store, PLACES, QUEUE, streams)
        for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
    host = Host('front-leicester-1', '127.0.0.1', 'leicester', folder, 300)
    host.write_settings(store.address, [f'127.0.0.1:{host.control[1]}'])
    host.start()
    crashes: list[asyncio.Task[None]] = []
    traffic = Traffic(host)
    try:
        await host.wait_ready()
        await asyncio.sleep(1)
        await traffic.warm_up()
        began_at = time.monotonic()
        for at, engine in zip(CRASHES_AT, engines[1:], strict=True):
            await asyncio.sleep(began_at + at - time.monotonic())
            if TROUBLE:
                crashes.append(asyncio.create_task(lose(store, engine)))
        for at in WAVES_AT:
            await asyncio.sleep(began_at + at - time.monotonic())
            await traffic.wave()
        assert host.process is not None and host.process.poll() is None
    finally:
        traffic.close()
        host.stop()
        for engine in engines:
            engine.close()
        store.close()
    return report(traffic, engines, began_at)


def report(traffic: Traffic, engines: list[Engine], began_at: float) -> int:
    def seconds(moment: float) -> str:
        return f'{moment - began_at:.2f}'

    runs: dict[str, list[Run]] = {}
    for engine in engines:
        for run in engine.runs:
            runs.setdefault(run.request_id, []).append(run)
    lost = 0
    lines = [f'TROUBLE={int(TROUBLE)}; times in s']
    for answer in sorted(traffic.answers, key=lambda one: one.sent_at):
        own = sorted(
            runs.get(answer.request_id, []), key=lambda run: run.arrived_at
        )
        is_counted = is_lost(answer, own)
        lost += is_counted
        worked = '; '.join(
            f'{run.engine} from {seconds(run.arrived_at)} after event '
            f'{run.after}, preempted '
            + ', '.join(
                '-'.join(seconds(moment) for moment in span)
                for span in run.preempted
            )
            + f', events {run.events[:1]}..{run.events[-1:]}, {run.end} at '
            f'{seconds(run.ended_at)}'
            for run in own
        )
        lines.append(
            f'{answer.request_id} sent {seconds(answer.sent_at)}, status '
            f'{answer.status}, {len(answer.events)} events, '
            f'{"whole" if answer.is_complete else answer.why} at '
            f'{seconds(answer.ended_at)}; runs: {worked or "none"}'
            f'{"; LOST" if is_counted else ""}'
        )
    whole = sum(answer.is_complete for answer in traffic.answers)
    lines.append(
        f'{len(traffic.answers)} requests, {whole} whole answers, {lost} lost '
        f'(LOST allows {MOST_LOST})'
    )
    (HERE / 'record.txt').write_text('\n'.join(lines) + '\n')
    print(lines[-1])
    return int(lost > MOST_LOST)


if __name__ == '__main__':
    sys.exit(run_script(play))
