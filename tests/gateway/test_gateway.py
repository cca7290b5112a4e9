"""The HTTP interface: typed errors, time limits, idempotency and patches."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import uuid6
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from burdockledge.gateway._bodies import ChatBody, CompletionBody, PatchBody
from tests.gateway.running_host import OPERATOR_KEY, RunningHost, run_host

CHAT_PATH = '/v1/chat/completions'
LEDGER_PATH = '/v1/services/ledger/pay'
VALID_CHAT = {
    'model': 'm',
    'messages': [{'role': 'user', 'content': 'hi'}],
    'metadata': {'tokens': 3},
}
VALID_CHAT_JSON = json.dumps(VALID_CHAT).encode()


def chat_json_with(**changes: Any) -> bytes:
    """Return a JSON chat body with some fields replaced."""
    return json.dumps({**VALID_CHAT, **changes}).encode()


# method, path, headers, body, status, code
BAD_REQUESTS: tuple[tuple[str, str, dict[str, str], bytes, int, str], ...] = (
    ('POST', CHAT_PATH, {}, b'{', 400, 'invalid_body'),
    ('POST', CHAT_PATH, {}, b'\xff\xfe{}', 400, 'invalid_body'),
    ('POST', CHAT_PATH, {}, b'[]', 400, 'invalid_body'),
    ('POST', CHAT_PATH, {}, chat_json_with(model=7), 400, 'invalid_body'),
    ('POST', CHAT_PATH, {}, chat_json_with(messages=[]), 400, 'invalid_body'),
    ('POST', CHAT_PATH, {}, chat_json_with(messages='hi'), 400, 'invalid_body'),
    ('POST', CHAT_PATH, {}, chat_json_with(max_tokens=-1), 400, 'invalid_body'),
    ('POST', CHAT_PATH, {}, chat_json_with(model='x'), 404, 'model_not_found'),
    ('POST', '/v1/completions', {}, b'{"model":"m"}', 400, 'invalid_body'),
    (
        'POST',
        CHAT_PATH,
        {'Authorization': 'Bearer x'},
        VALID_CHAT_JSON,
        401,
        'invalid_api_key',
    ),
    (
        'POST',
        CHAT_PATH,
        {'Authorization': 'Basic'},
        VALID_CHAT_JSON,
        401,
        'invalid_api_key',
    ),
    (
        'POST',
        CHAT_PATH,
        {'Burdockledge-Class': 'other'},
        VALID_CHAT_JSON,
        403,
        'class_not_allowed',
    ),
    (
        'POST',
        CHAT_PATH,
        {'Burdockledge-Timeout-Ms': 'x'},
        VALID_CHAT_JSON,
        400,
        'bad_header',
    ),
    (
        'POST',
        CHAT_PATH,
        {'Burdockledge-Timeout-Ms': '0'},
        VALID_CHAT_JSON,
        400,
        'bad_header',
    ),
    (
        'POST',
        CHAT_PATH,
        {'Burdockledge-Idempotent': 'false'},
        VALID_CHAT_JSON,
        400,
        'idempotency_key_invalid',
    ),
    ('POST', LEDGER_PATH, {}, b'{}', 400, 'idempotency_key_invalid'),
    (
        'POST',
        LEDGER_PATH,
        {'Idempotency-Key': 'order 7'},
        b'{}',
        400,
        'idempotency_key_invalid',
    ),
    ('GET', '/v1/services/none/x', {}, b'', 404, 'service_not_found'),
    ('POST', CHAT_PATH, {}, b'x' * 5000, 413, 'body_too_large'),
    ('GET', '/v1/unheard', {}, b'', 404, 'not_found'),
    ('DELETE', CHAT_PATH, {}, b'', 405, 'method_not_allowed'),
    ('GET', '/v1/outcomes/x', {}, b'', 400, 'idempotency_key_invalid'),
    ('GET', '/admin/status', {}, b'', 401, 'invalid_api_key'),
)


async def check_bad_requests(running: RunningHost) -> None:
    """
    Send each bad request to one host and check status, code and outcome.

    Afterwards the host holds no slot and answers a valid request.
    """
    for method, path, headers, body, status, code in BAD_REQUESTS:
        request_headers = {**running.headers(), **headers}
        async with running.session.request(
            method, running.url + path, data=body, headers=request_headers
        ) as response:
            answer = await response.json()
            assert response.status == status, (path, body[:40], answer)
            assert answer['error']['code'] == code, (path, body[:40], answer)
            assert answer['outcome'] == 'not-run', (path, body[:40])
    assert running.host.components.lifecycle.in_flight == 0
    assert running.host.components.broker.held_slot_count == 0
    async with running.session.post(
        running.url + CHAT_PATH, data=VALID_CHAT_JSON, headers=running.headers()
    ) as response:
        assert response.status == 200


def test_bad_requests_get_typed_errors() -> None:
    """Each bad request gets its status, code and outcome and holds no slot."""

    async def scenario() -> None:
        async with run_host(max_body_bytes=4096) as running:
            await check_bad_requests(running)

    asyncio.run(scenario())


async def read_until_closed(port: int, request_start: bytes) -> bytes:
    """Send the start of a request and read until the host disconnects."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request_start)
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    return answer


def test_slow_senders_are_disconnected() -> None:
    """An incomplete head or body holds a connection only up to the limit."""
    head = (
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
        b'Authorization: Bearer team-key\r\nContent-Length: 100\r\n\r\n{'
    )

    async def scenario() -> None:
        async with run_host(header_timeout_seconds=0.3) as running:
            assert await read_until_closed(running.port, b'POST /v1/ch') == b''
            answer = await read_until_closed(running.port, head)
            assert b'408' in answer.split(b'\r\n')[0]
            assert running.host.components.lifecycle.in_flight == 0

    asyncio.run(scenario())


def test_disconnected_caller_frees_its_slot() -> None:
    """The request ends and its slot is released when the caller disconnects."""

    async def scenario() -> None:
        async with run_host() as running:
            body = chat_json_with(stream=True, metadata={'tokens': 100_000})
            response = await running.session.post(
                running.url + CHAT_PATH, data=body, headers=running.headers()
            )
            await response.content.readline()
            assert running.host.components.broker.held_slot_count == 1
            response.close()
            async with asyncio.timeout(10):
                await running.host.components.lifecycle.wait_idle()
            assert running.host.components.broker.held_slot_count == 0

    asyncio.run(scenario())


def test_keyed_call_executes_once_and_is_replayed() -> None:
    """A retry gets the recorded answer; another body is rejected."""

    async def scenario() -> None:
        async with run_host() as running:
            key = str(uuid6.uuid7())
            headers = running.headers(**{'Idempotency-Key': key})
            results = []
            for body in (b'{"a":1}', b'{"a":1}', b'{"a":2}'):
                async with running.session.post(
                    running.url + LEDGER_PATH, data=body, headers=headers
                ) as response:
                    replayed = response.headers.get('Burdockledge-Replayed')
                    outcome = response.headers['Burdockledge-Outcome']
                    results.append((response.status, outcome, replayed))
            assert results == [
                (200, 'completed', None),
                (200, 'completed', 'true'),
                (422, 'not-run', None),
            ]
            assert running.service.executions[key] == 1

    asyncio.run(scenario())


def test_keyed_generation_executes_once() -> None:
    """
    A retry of a non-idempotent generation gets the recorded answer.

    The engine executes the generation once.
    """

    async def scenario() -> None:
        async with run_host() as running:
            headers = running.headers(
                **{
                    'Idempotency-Key': str(uuid6.uuid7()),
                    'Burdockledge-Idempotent': 'false',
                },
            )
            results = []
            for _ in range(3):
                async with running.session.post(
                    running.url + CHAT_PATH,
                    data=VALID_CHAT_JSON,
                    headers=headers,
                ) as response:
                    answer = await response.json()
                    outcome = response.headers['Burdockledge-Outcome']
                    results.append(
                        (outcome, answer['usage']['completion_tokens'])
                    )
            assert results == [('completed', 3)] * 3
            assert len(running.engine.model.executed_request_ids) == 1

    asyncio.run(scenario())


def test_patch_needs_the_current_version() -> None:
    """A patch of an old version is rejected with the version in force."""

    async def scenario() -> None:
        async with run_host() as running:
            headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
            results = []
            for base, offers in ((1, 3), (1, 4), (2, 0)):
                body = {
                    'id': f'{base}-{offers}',
                    'base': base,
                    'patch': {'policy': {'offers': offers}},
                }
                async with running.session.post(
                    f'{running.url}/admin/configuration/patches',
                    json=body,
                    headers=headers,
                ) as response:
                    answer = await response.json()
                    results.append((response.status, answer['version']))
            assert results == [(200, 2), (409, 2), (422, 2)]

    asyncio.run(scenario())


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=60),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda children: (
                st.lists(children, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ('model', 'messages', 'prompt', 'role', 'id', 'base')
                    ),
                    children,
                    max_size=4,
                )
            ),
            max_leaves=8,
        ).map(lambda value: json.dumps(value).encode()),
    ),
)
def test_any_body_is_parsed_or_rejected(body: bytes) -> None:
    """Parsing a body raises nothing but a validation error."""
    for model in (ChatBody, CompletionBody, PatchBody):
        try:
            parsed = model.model_validate_json(body)
        except ValidationError:
            continue
        if isinstance(parsed, (ChatBody, CompletionBody)):
            assert isinstance(parsed.prompt_text(), str)
