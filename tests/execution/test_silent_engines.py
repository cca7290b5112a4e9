"""What callers of ``serve`` see while their only engine is silent."""

from __future__ import annotations

import asyncio
import json
from typing import Final

import pytest
import uuid6

from burdockledge.standins import FaultCommand
from tests.gateway.running_host import run_host

# The clients of ``run_host`` wait this long for the next byte of an engine.
READ_TIMEOUT_SECONDS: Final = 2.0
TOKENS: Final = 400


@pytest.mark.parametrize(
    ('silent_seconds', 'is_idempotent'),
    [
        (READ_TIMEOUT_SECONDS / 2, True),
        (READ_TIMEOUT_SECONDS + 1, True),
        (READ_TIMEOUT_SECONDS + 1, False),
    ],
    ids=['short silence', 'long silence', 'runs only once'],
)
def test_a_generation_goes_on_at_the_only_engine_after_a_silence(
    silent_seconds: float, is_idempotent: bool
) -> None:
    """Guards against answers that end although their only engine goes on."""

    async def run() -> None:
        async with run_host() as running:
            running.engine.faults.apply(
                FaultCommand(fault='silent', seconds=silent_seconds)
            )
            headers = running.headers(
                **{
                    'Burdockledge-Idempotent': str(is_idempotent).lower(),
                    'Idempotency-Key': str(uuid6.uuid7()),
                }
            )
            body = {
                'model': 'm',
                'messages': [{'role': 'user', 'content': 'hello'}],
                'metadata': {'tokens': TOKENS},
                'max_tokens': TOKENS,
            }
            async with running.session.post(
                f'{running.url}/v1/chat/completions',
                data=json.dumps(body),
                headers=headers,
            ) as response:
                assert response.headers['Burdockledge-Outcome'] == 'completed'
                assert response.status == 200
            decisions = running.host.components.metrics.counter(
                'silence_decisions', decision='stays', reason='no_server'
            )
            assert bool(decisions) == (
                is_idempotent and silent_seconds > READ_TIMEOUT_SECONDS
            )

    asyncio.run(run())
