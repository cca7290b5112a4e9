"""Bad input brings a typed error, a true outcome, and no harm."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import uuid6
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from burdockledge.gateway._bodies import ChatBody, CompletionBody, PatchBody
from tests.gateway.live import OPERATOR_KEY, Live, live_host

CHAT = '/v1/chat/completions'
LEDGER = '/v1/services/ledger/pay'
GOOD = {
    'model': 'm',
    'messages': [{'role': 'user', 'content': 'hi'}],
    'metadata': {'tokens': 3},
}
BODY = json.dumps(GOOD).encode()


def changed(**changes: Any) -> bytes:
    """Return a chat body with some fields replaced."""
    return json.dumps({**GOOD, **changes}).encode()


# method, path, headers, body, status, code
CASES: tuple[tuple[str, str, dict[str, str], bytes, int, str], ...] = (
    ('POST', CHAT, {}, b'{', 400, 'invalid_body'),
    ('POST', CHAT, {}, b'\xff\xfe{}', 400, 'invalid_body'),
    ('POST', CHAT, {}, b'[]', 400, 'invalid_body'),
    ('POST', CHAT, {}, changed(model=7), 400, 'invalid_body'),
    ('POST', CHAT, {}, changed(messages=[]), 400, 'invalid_body'),
    ('POST', CHAT, {}, changed(messages='hi'), 400, 'invalid_body'),
    ('POST', CHAT, {}, changed(max_tokens=-1), 400, 'invalid_body'),
    ('POST', CHAT, {}, changed(model='x'), 404, 'model_not_found'),
    ('POST', '/v1/completions', {}, b'{"model":"m"}', 400, 'invalid_body'),
    ('POST', CHAT, {'Authorization': 'Bearer x'}, BODY, 401, 'invalid_api_key'),
    ('POST', CHAT, {'Authorization': 'Basic'}, BODY, 401, 'invalid_api_key'),
    (
        'POST',
        CHAT,
        {'Burdockledge-Class': 'other'},
        BODY,
        403,
        'class_not_allowed',
    ),
    ('POST', CHAT, {'Burdockledge-Timeout-Ms': 'x'}, BODY, 400, 'bad_header'),
    ('POST', CHAT, {'Burdockledge-Timeout-Ms': '0'}, BODY, 400, 'bad_header'),
    (
        'POST',
        CHAT,
        {'Burdockledge-Idempotent': 'false'},
        BODY,
        400,
        'idempotency_key_invalid',
    ),
    ('POST', LEDGER, {}, b'{}', 400, 'idempotency_key_invalid'),
    (
        'POST',
        LEDGER,
        {'Idempotency-Key': 'order 7'},
        b'{}',
        400,
        'idempotency_key_invalid',
    ),
    ('GET', '/v1/services/none/x', {}, b'', 404, 'service_not_found'),
    ('POST', CHAT, {}, b'x' * 5000, 413, 'body_too_large'),
    ('GET', '/v1/unheard', {}, b'', 404, 'not_found'),
    ('DELETE', CHAT, {}, b'', 405, 'method_not_allowed'),
    ('GET', '/v1/outcomes/x', {}, b'', 400, 'idempotency_key_invalid'),
    ('GET', '/admin/status', {}, b'', 401, 'invalid_api_key'),
)


async def run_cases(live: Live) -> None:
    """Send each case to one host and compare."""
    for method, path, headers, body, status, code in CASES:
        sent = {**live.headers(), **headers}
        async with live.session.request(
            method, live.url + path, data=body, headers=sent
        ) as response:
            answer = await response.json()
            assert response.status == status, (path, body[:40], answer)
            assert answer['error']['code'] == code, (path, body[:40], answer)
            assert answer['outcome'] == 'not-run', (path, body[:40])
    assert live.host.parts.lifecycle.in_flight == 0
    assert live.host.parts.broker.held_slot_count == 0
    async with live.session.post(
        live.url + CHAT, data=BODY, headers=live.headers()
    ) as response:
        assert response.status == 200


def test_typed_errors() -> None:
    """Every case has its status, code and outcome; the host lives on."""

    async def scenario() -> None:
        async with live_host(max_body_bytes=4096) as live:
            await run_cases(live)

    asyncio.run(scenario())


async def closed_by_host(port: int, opening: bytes) -> bytes:
    """Send a beginning, then wait for the host to close."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(opening)
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    return answer


def test_slow_senders_are_closed() -> None:
    """Half a head, and a body that never ends, do not hold a connection."""
    head = (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
        b'Authorization: Bearer team-key\r\nContent-Length: 100\r\n\r\n{'
    )

    async def scenario() -> None:
        async with live_host(header_timeout_seconds=0.3) as live:
            assert await closed_by_host(live.port, b'POST /v1/ch') == b''
            answer = await closed_by_host(live.port, head)
            assert b'408' in answer.split(b'\r\n')[0]
            assert live.host.parts.lifecycle.in_flight == 0

    asyncio.run(scenario())


def test_a_caller_that_leaves_frees_its_slot() -> None:
    """The engine's work is cancelled and the slot is given back."""

    async def scenario() -> None:
        async with live_host() as live:
            body = changed(stream=True, metadata={'tokens': 100_000})
            response = await live.session.post(
                live.url + CHAT, data=body, headers=live.headers()
            )
            await response.content.readline()
            assert live.host.parts.broker.held_slot_count == 1
            response.close()
            async with asyncio.timeout(10):
                await live.host.parts.lifecycle.wait_idle()
            assert live.host.parts.broker.held_slot_count == 0

    asyncio.run(scenario())


def test_a_key_runs_once_and_is_replayed() -> None:
    """Asking again brings the kept answer; another body is refused."""

    async def scenario() -> None:
        async with live_host() as live:
            key = str(uuid6.uuid7())
            headers = live.headers(**{'Idempotency-Key': key})
            seen = []
            for body in (b'{"a":1}', b'{"a":1}', b'{"a":2}'):
                async with live.session.post(
                    live.url + LEDGER, data=body, headers=headers
                ) as response:
                    replayed = response.headers.get('Burdockledge-Replayed')
                    told = response.headers['Burdockledge-Outcome']
                    seen.append((response.status, told, replayed))
            assert seen == [
                (200, 'completed', None),
                (200, 'completed', 'true'),
                (422, 'not-run', None),
            ]
            assert live.service.executions[key] == 1

    asyncio.run(scenario())


def test_a_generation_under_a_key_runs_once() -> None:
    """A marked generation is answered whole and replayed, not run again."""

    async def scenario() -> None:
        async with live_host() as live:
            headers = live.headers(
                **{
                    'Idempotency-Key': str(uuid6.uuid7()),
                    'Burdockledge-Idempotent': 'false',
                },
            )
            seen = []
            for _ in range(3):
                async with live.session.post(
                    live.url + CHAT, data=BODY, headers=headers
                ) as response:
                    answer = await response.json()
                    told = response.headers['Burdockledge-Outcome']
                    seen.append((told, answer['usage']['completion_tokens']))
            assert seen == [('completed', 3)] * 3
            assert len(live.engine.model.executed) == 1

    asyncio.run(scenario())


def test_operators_publish_against_a_version() -> None:
    """A stale number is refused and the number in force is shown."""

    async def scenario() -> None:
        async with live_host() as live:
            headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
            seen = []
            for base, offers in ((1, 3), (1, 4), (2, 0)):
                body = {
                    'id': f'{base}-{offers}',
                    'base': base,
                    'patch': {'policy': {'offers': offers}},
                }
                async with live.session.post(
                    f'{live.url}/admin/configuration/patches',
                    json=body,
                    headers=headers,
                ) as response:
                    answer = await response.json()
                    seen.append((response.status, answer['version']))
            assert seen == [(200, 2), (409, 2), (422, 2)]

    asyncio.run(scenario())


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=60),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ('model', 'messages', 'prompt', 'role', 'id', 'base')
                    ),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=8,
        ).map(lambda value: json.dumps(value).encode()),
    ),
)
def test_any_body_is_parsed_or_refused(body: bytes) -> None:
    """The border raises nothing but its own validation error."""
    for model in (ChatBody, CompletionBody, PatchBody):
        try:
            parsed = model.model_validate_json(body)
        except ValidationError:
            continue
        if isinstance(parsed, (ChatBody, CompletionBody)):
            assert isinstance(parsed.prompt_text(), str)
