"""Invariants of the duties, checked against the calls that the API got."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator

from tests.soak._bounds import LEASE_SECONDS, tolerance_seconds
from tests.soak._configuration import MAX_SERVERS
from tests.soak._record import DutyCall, Record


def windows_have_one_report(record: Record) -> Iterator[str]:
    """No window is reported with different counts, carried out or not."""
    reports: dict[int, str] = {}
    for call in record.duty_calls:
        if call.window is not None:
            known = reports.setdefault(call.window, call.content)
            if known != call.content:
                yield f'{call.host} reported {call.content} after {known}'


def tokens_have_one_holder(record: Record) -> Iterator[str]:
    """No two hosts use one fencing token."""
    holders: dict[int, str] = {}
    for call in record.duty_calls:
        holder = holders.setdefault(call.token, call.host)
        if holder != call.host:
            yield f'{call.host} used token {call.token} of {holder}'


def accepted_tokens_never_fall(record: Record) -> Iterator[str]:
    """No call is carried out after one of its subject with a higher token."""
    newest: dict[str, DutyCall] = {}
    for call in sorted(record.duty_calls, key=lambda one: one.ran_at):
        known = newest.setdefault(call.subject, call)
        if call.ran_at < math.inf and call.token < known.token:
            yield (
                f'{call.subject}: token {call.token} of {call.host} after '
                f'{known.token} of {known.host}'
            )
        newest[call.subject] = max(known, call, key=lambda one: one.token)


def refused_tokens_are_not_used_again(record: Record) -> Iterator[str]:
    """A token that was refused as outdated is not used from then on."""
    slack = tolerance_seconds(record)
    refused: dict[int, float] = {}
    for call in record.duty_calls:
        refused[call.token] = min(
            call.fenced_at, refused.get(call.token, call.fenced_at)
        )
    for call in record.duty_calls:
        if call.at > refused[call.token] + slack:
            yield f'{call.host} used token {call.token} after its refusal'


def holders_do_not_alternate(record: Record) -> Iterator[str]:
    """No host calls, then another one, then the first within a lease."""
    last_calls: dict[str, DutyCall] = {}
    last_host = ''
    for call in record.duty_calls:
        former = last_calls.get(call.host)
        if former is not None and last_host != call.host:
            seconds = call.at - former.at
            if seconds < LEASE_SECONDS:
                yield f'{call.host}, {last_host} and again in {seconds:.1f} s'
        last_calls[call.host] = call
        last_host = call.host


def orders_keep_the_maximum(record: Record) -> Iterator[str]:
    """No order asks for more servers than are configured, or less than 0."""
    for call in record.duty_calls:
        if call.window is None:
            count = json.loads(call.content)['desired_count']
            if not 0 <= count <= MAX_SERVERS:
                yield f'{call.host} ordered {call.content}'


DUTY_INVARIANTS: tuple[Callable[[Record], Iterator[str]], ...] = (
    windows_have_one_report,
    tokens_have_one_holder,
    accepted_tokens_never_fall,
    refused_tokens_are_not_used_again,
    holders_do_not_alternate,
    orders_keep_the_maximum,
)
