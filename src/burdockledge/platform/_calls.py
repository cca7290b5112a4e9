"""Decodes calls of callers and encodes what goes to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from burdockledge.platform import _names as names
from burdockledge.relay import ForwardedCall, Prompt, PromptPart

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aiohttp.web_request import BaseRequest

    from burdockledge.relay import CallerLimits, Headers, OutboundCall

_BAD_REQUEST: Final = 400
_REQUEST_TIMEOUT: Final = 408
_TOO_LARGE: Final = 413
_HEADERS_TOO_LARGE: Final = 431
_MS: Final = 1000
_PART_MASK: Final = (1 << 32) - 1
# Headers that concern one connection only (RFC 9110, section 7.6.1), and
# those that the next hop sets by itself.
_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)


class BadCallError(Exception):
    """A request that is answered without being forwarded."""

    def __init__(self, status: int, why: str) -> None:
        """Carry the status and the reason to the caller."""
        super().__init__(why)
        self.status = status
        self.why = why


async def decode_call(
    request: BaseRequest, limits: CallerLimits
) -> ForwardedCall:
    """
    Read a whole request.

    :raises BadCallError: if it can not be forwarded.
    """
    _check_head(request, limits)
    body = await _read_body(request, limits)
    headers = request.headers
    return ForwardedCall(
        request_id=headers[names.REQUEST_ID],
        method=request.method,
        target=request.raw_path,
        http_host=headers['Host'],
        headers=tuple(_end_to_end(request.raw_headers)),
        body=body,
        api_key=_key_of(headers.get(names.KEY_HEADER)),
        caller_timeout_seconds=_patience_of(headers.get(names.PATIENCE_MS)),
        prompt=_prompt_of(
            headers.get(names.PROMPT_PARTS), headers.get(names.TOKEN_COUNTS)
        ),
        last_event_id=headers.get(names.LAST_EVENT),
    )


def outbound_headers(outbound: OutboundCall) -> Headers:
    """Return the headers that a server gets with a call."""
    call = outbound.call
    headers = [
        (name, text)
        for name, text in call.headers
        if name.lower() != names.LAST_EVENT.lower()
    ]
    patience_ms = max(1, int(outbound.remaining_seconds * _MS))
    headers.append((names.PATIENCE_MS, str(patience_ms)))
    headers.append((names.EXPECTED_SERVER, outbound.instance.server_id))
    headers.append((names.URGENCY, str(outbound.urgency)))
    if outbound.team is not None:
        headers.append((names.TEAM, outbound.team))
    if outbound.cache_source is not None:
        headers.append((names.FETCH_FROM, outbound.cache_source.address))
    if outbound.last_event_id is not None:
        headers.append((names.LAST_EVENT, outbound.last_event_id))
    return tuple(headers)


def answer_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of an answer that its caller gets."""
    return tuple(
        (name, text)
        for name, text in _decoded(raw)
        if name.lower() not in _HOP_HEADERS
    )


def _check_head(request: BaseRequest, limits: CallerLimits) -> None:
    for name in ('Host', names.REQUEST_ID):
        if len(request.headers.getall(name, ())) != 1:
            raise BadCallError(_BAD_REQUEST, f'give one {name} header')
    _check_sizes(request, limits)
    if not request.raw_path.startswith('/'):
        raise BadCallError(_BAD_REQUEST, 'the target must be a path')


def _check_sizes(request: BaseRequest, limits: CallerLimits) -> None:
    size = sum(len(name) + len(text) + 4 for name, text in request.raw_headers)
    if size > limits.header_bytes:
        raise BadCallError(_HEADERS_TOO_LARGE, 'the headers are too large')
    if (request.content_length or 0) > limits.body_bytes:
        raise BadCallError(_TOO_LARGE, 'the body is too large')


async def _read_body(request: BaseRequest, limits: CallerLimits) -> bytes:
    if not request.body_exists:
        return b''
    chunks: list[bytes] = []
    size = 0
    while chunk := await _read_chunk(request, limits.idle_timeout_seconds):
        size += len(chunk)
        if size > limits.body_bytes:
            raise BadCallError(_TOO_LARGE, 'the body is too large')
        chunks.append(chunk)
    return b''.join(chunks)


async def _read_chunk(request: BaseRequest, limit: float) -> bytes:
    """Return the next part of a body, empty at its end."""
    try:
        async with asyncio.timeout(limit):
            return await request.content.readany()
    except TimeoutError as error:
        raise BadCallError(_REQUEST_TIMEOUT, 'the body stopped') from error


def _end_to_end(
    raw: Iterable[tuple[bytes, bytes]],
) -> Iterable[tuple[str, str]]:
    decoded = tuple(_decoded(raw))
    named = {
        token.strip().lower()
        for name, text in decoded
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = _HOP_HEADERS | names.SYSTEM_HEADERS | named
    for name, text in decoded:
        if name.lower() not in dropped:
            yield name, text


def _decoded(
    raw: Iterable[tuple[bytes, bytes]],
) -> Iterable[tuple[str, str]]:
    for name, text in raw:
        yield name.decode('latin-1'), text.decode('utf-8', 'surrogateescape')


def _key_of(header: str | None) -> str | None:
    scheme, _, key = (header or '').partition(' ')
    if scheme != names.KEY_SCHEME or not key:
        return None
    return key.strip()


def _patience_of(header: str | None) -> float | None:
    if header is None:
        return None
    try:
        patience = float(header) / _MS
    except ValueError as error:
        raise BadCallError(
            _BAD_REQUEST, f'{names.PATIENCE_MS} is no number'
        ) from error
    return max(0.001, patience)


def _prompt_of(parts: str | None, counts: str | None) -> Prompt:
    try:
        return Prompt(
            tuple(_part_of(part) for part in (parts or '').split(',') if part),
            *_counts_of(counts),
        )
    except ValueError:
        # A prompt that is not understood is placed like one without parts.
        return Prompt()


def _part_of(text: str) -> PromptPart:
    part, _, tokens = text.strip().partition(':')
    return PromptPart(int(part, 16) & _PART_MASK, int(tokens))


def _counts_of(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    given, _, limit = text.partition(',')
    return int(given), int(limit or 0)


__all__ = ('BadCallError', 'answer_headers', 'decode_call', 'outbound_headers')
