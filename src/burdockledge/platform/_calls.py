"""Converts HTTP requests to calls, and calls and responses to headers."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Final, cast

from result import Ok

from burdockledge.calls import CallBody, ForwardedCall, Prompt, PromptPart
from burdockledge.connections import BodyFailure, RoomRefusal, receive_body
from burdockledge.platform import _names as names
from burdockledge.scheduling import ServerNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from aiohttp.web_request import BaseRequest

    from burdockledge.calls import CallerLimits
    from burdockledge.connections import Body, GuardedConnection
    from burdockledge.relay import Headers, OutboundCall

_BAD_REQUEST: Final = 400
_REQUEST_TIMEOUT: Final = 408
_TOO_LARGE: Final = 413
_MISDIRECTED_REQUEST: Final = 421
_HEADERS_TOO_LARGE: Final = 431
_UNAVAILABLE: Final = 503
_MS_PER_SECOND: Final = 1000
# The largest number of tokens in the messages of the hosts.
_MAX_TOKENS: Final = (1 << 31) - 1
PART_ID_MASK: Final = (1 << 32) - 1
STATUS_BY_FAILURE: Final = {
    BodyFailure.too_large: _TOO_LARGE,
    BodyFailure.stopped: _REQUEST_TIMEOUT,
    BodyFailure.broken: _BAD_REQUEST,
}
# Headers of a single connection (RFC 9110, section 7.6.1), and headers that
# the HTTP client sets for the next hop.
_HOP_BY_HOP_HEADERS: Final = frozenset(
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
# All but the tab, which may separate words.
_CONTROL_CHARACTER: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


class BadCallError(Exception):
    """A request that is answered without being forwarded."""

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        """
        Hold the HTTP status and the text of the error response.

        :param retry_after_seconds: when the request may be accepted, if that
            depends on the time only.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds


async def decode_call(
    request: BaseRequest, limits: CallerLimits
) -> ForwardedCall:
    """
    Read a complete request.

    :raises BadCallError: if the request is invalid, too large or too slow, or
        if there is no room for it.
    """
    _check_request_head(request, limits)
    headers = request.headers
    caller_timeout_seconds = _parse_timeout_seconds(
        headers.get(names.TIMEOUT_MS)
    )
    body = await _receive_body(request, limits)
    return ForwardedCall(
        request_id=headers[names.REQUEST_ID],
        method=request.method,
        target=request.raw_path,
        http_host=headers['Host'],
        headers=tuple(_end_to_end_headers(request.raw_headers)),
        body=CallBody(body, _keep_room(request) if body else None),
        api_key=_parse_api_key(headers.get(names.AUTHORIZATION)),
        caller_timeout_seconds=caller_timeout_seconds,
        prompt=parse_prompt(
            headers.get(names.PROMPT_PARTS), headers.get(names.TOKEN_COUNTS)
        ),
        last_event_id=headers.get(names.LAST_EVENT_ID),
    )


def outbound_headers(outbound: OutboundCall) -> Headers:
    """Return the request headers to send to a backend server."""
    call = outbound.call
    headers = [
        (name, text)
        for name, text in call.headers
        if name.lower() != names.LAST_EVENT_ID.lower()
    ]
    timeout_ms = max(1, int(outbound.remaining_seconds * _MS_PER_SECOND))
    headers.append((names.TIMEOUT_MS, str(timeout_ms)))
    headers.append((names.EXPECTED_SERVER, outbound.instance.server_id))
    headers.append((names.URGENCY, str(outbound.urgency)))
    if outbound.team is not None:
        headers.append((names.TEAM, outbound.team))
    if outbound.cache_source is not None:
        headers.append((names.CACHE_SOURCE, outbound.cache_source.address))
    if outbound.last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, outbound.last_event_id))
    return tuple(headers)


def call_rate_limit(raw_limits: Iterable[str]) -> float | None:
    """
    Return the calls a second that a response's headers allow.

    :return: the lowest one of several, None without any, and NaN if none of
        them is a number of calls.
    """
    limits = tuple(raw_limits)
    if not limits:
        return None
    readable = [limit for limit in map(_parse_number, limits) if limit >= 0]
    return min(readable, default=math.nan)


def server_notice(
    status: int, leaving: Iterable[str], pauses: Iterable[str]
) -> ServerNotice:
    """
    Return what a response says of its server.

    :param leaving: the headers by which it says that it leaves.
    :param pauses: the headers by which it asks for a pause. They count for
        status 503 only; of several the longest one that is a number.
    """
    if status == _MISDIRECTED_REQUEST:
        # The answer of another server than the one that was meant.
        return ServerNotice()
    pause_seconds = 0.0
    texts = tuple(pauses) if status == _UNAVAILABLE else ()
    if texts:
        numbers = [
            number for number in map(_parse_number, texts) if number >= 0
        ]
        pause_seconds = max(numbers, default=math.nan)
    return ServerNotice(
        any(text.strip() == '1' for text in leaving), pause_seconds
    )


def response_headers(raw_headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """
    Return the response headers to pass on to the caller.

    Headers with control characters are left out, as no message may bear them
    (RFC 9110, section 5.5).
    """
    return tuple(
        (name, text)
        for name, text in _decode_headers(raw_headers)
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and not _CONTROL_CHARACTER.search(text)
    )


def parse_prompt(parts: str | None, counts: str | None) -> Prompt:
    """
    Return the prompt that the headers of a call describe.

    :param parts: ``ID:TOKENS`` entries, separated by commas.
    :param counts: the tokens of the prompt and of the longest output.
    :return: an empty prompt if the headers can not be read, or name sizes
        that no engine has: the call is placed like one without them.
    """
    try:
        prompt = Prompt(
            tuple(
                _parse_prompt_part(part)
                for part in (parts or '').split(',')
                if part
            ),
            *_parse_token_counts(counts),
        )
    except ValueError:
        return Prompt()
    sizes = [part.tokens for part in prompt.parts]
    sizes += [sum(sizes), prompt.input_tokens, prompt.max_output_tokens]
    if min(sizes) < 0 or max(sizes) > _MAX_TOKENS:
        return Prompt()
    return prompt


def _check_request_head(request: BaseRequest, limits: CallerLimits) -> None:
    for name in ('Host', names.REQUEST_ID):
        if len(request.headers.getall(name, ())) != 1:
            raise BadCallError(_BAD_REQUEST, f'give one {name} header')
    _check_request_size(request, limits)
    if not request.raw_path.startswith('/'):
        raise BadCallError(_BAD_REQUEST, 'the target must be a path')


def _check_request_size(request: BaseRequest, limits: CallerLimits) -> None:
    # 4 bytes for the colon, the space and the line end of each header.
    size = sum(len(name) + len(text) + 4 for name, text in request.raw_headers)
    if size > limits.header_bytes:
        raise BadCallError(_HEADERS_TOO_LARGE, 'the headers are too large')


async def _receive_body(request: BaseRequest, limits: CallerLimits) -> Body:
    received = await receive_body(
        request, limits.body_bytes, limits.idle_timeout_seconds
    )
    if isinstance(received, Ok):
        return received.ok_value
    failure = received.err_value
    if isinstance(failure, RoomRefusal):
        raise BadCallError(
            _UNAVAILABLE,
            'there is no room for the request',
            failure.retry_after_seconds,
        )
    raise BadCallError(STATUS_BY_FAILURE[failure], failure.value)


def _keep_room(request: BaseRequest) -> Callable[[], None] | None:
    """Hold the room of a body until the function that is returned is called."""
    return cast('GuardedConnection', request.protocol).keep_body()


def _end_to_end_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> Iterable[tuple[str, str]]:
    decoded = tuple(_decode_headers(raw_headers))
    connection_options = {
        token.strip().lower()
        for name, text in decoded
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped_names = (
        _HOP_BY_HOP_HEADERS | names.UNFORWARDED_HEADERS | connection_options
    )
    for name, text in decoded:
        if name.lower() not in dropped_names:
            yield name, text


def _decode_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> Iterable[tuple[str, str]]:
    for name, text in raw_headers:
        yield name.decode('latin-1'), text.decode('utf-8', 'surrogateescape')


def _parse_api_key(header: str | None) -> str | None:
    scheme, _, key = (header or '').partition(' ')
    if scheme != names.AUTHORIZATION_SCHEME or not key:
        return None
    return key.strip()


def _parse_timeout_seconds(header: str | None) -> float | None:
    if header is None:
        return None
    try:
        timeout_seconds = float(header) / _MS_PER_SECOND
    except ValueError as error:
        raise BadCallError(
            _BAD_REQUEST, f'{names.TIMEOUT_MS} is no number'
        ) from error
    return max(0.001, timeout_seconds)


def _parse_number(text: str) -> float:
    """Return a finite number, NaN if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return math.nan
    return number if math.isfinite(number) else math.nan


def _parse_prompt_part(text: str) -> PromptPart:
    part, _, tokens = text.strip().partition(':')
    return PromptPart(int(part, 16) & PART_ID_MASK, int(tokens))


def _parse_token_counts(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt_tokens, _, max_output_tokens = text.partition(',')
    return int(prompt_tokens), int(max_output_tokens or 0)


__all__ = (
    'PART_ID_MASK',
    'STATUS_BY_FAILURE',
    'BadCallError',
    'call_rate_limit',
    'decode_call',
    'outbound_headers',
    'parse_prompt',
    'response_headers',
    'server_notice',
)
