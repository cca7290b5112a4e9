"""Mutations of the product code that the oracle must detect."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
from collections.abc import Callable
from typing import Any

from burdockledge.duties import DutyHolder
from burdockledge.host import RelayHost
from burdockledge.http_client import BoundedConnection
from burdockledge.platform import (
    HttpDutyApi,
    PlatformDecoder,
    _calls,
    _duty_api,
    _servers,
    _store,
)
from burdockledge.registry import ServerRegistry
from burdockledge.relay import (
    CONFIGURATION_STREAM,
    ReplicatedRoutingState,
    _forwarder,
    _responder,
    _stream_relay,
)
from burdockledge.relay import _relay as relay_module
from burdockledge.replication import _exchange
from burdockledge.scheduling._notices import ServerNotices


def retry_executed_requests() -> None:
    """Retry requests that may have been executed."""
    _forwarder.Forwarder._reason_not_to_retry = lambda *_: None


def report_failures_as_not_executed() -> None:
    """Answer with 503 (not executed) instead of 502."""
    _forwarder.BAD_GATEWAY = _responder.UNAVAILABLE


def accept_truncated_responses() -> None:
    """Forward truncated responses as complete ones."""

    async def read(self: Any) -> bytes:
        body = await self._response.content.readany()
        return bytes(body[: len(body) // 2])

    _servers._HttpServerResponse.read = read


def drop_last_event_id() -> None:
    """Resume streams without the Last-Event-Id header."""
    original = _calls.outbound_headers

    def without_last_event_id(outbound: Any) -> Any:
        return tuple(
            pair for pair in original(outbound) if pair[0] != 'Last-Event-Id'
        )

    _servers.outbound_headers = without_last_event_id


def complete_truncated_streams() -> None:
    """End a truncated stream as if it were complete."""
    original = _stream_relay._next_chunk

    async def ignore_incomplete_response(chunks: Any, stalls_at: float) -> Any:
        try:
            return await original(chunks, stalls_at)
        except _forwarder.IncompleteResponseError:
            return None

    _stream_relay._next_chunk = ignore_incomplete_response


def trust_caller_headers() -> None:
    """Forward system headers that were set by callers."""
    _calls.names.UNFORWARDED_HEADERS = frozenset()


def use_draining_servers() -> None:
    """Send new work to draining servers."""
    ServerRegistry.ready_instances = lambda self, service, now: [
        instance
        for instance in self.all_instances(now)
        if instance.service == service
    ]


def stop_without_draining() -> None:
    """Abort requests in flight on a graceful shutdown."""

    async def drain(self: Any) -> None:
        self.membership.leave()

    RelayHost.drain = drain


def ignore_new_versions() -> None:
    """Ignore every configuration version after the first."""
    original = ReplicatedRoutingState._apply_configuration

    def apply_configuration(self: Any, key: str, content: bytes) -> None:
        if self._routes is None:
            original(self, key, content)

    ReplicatedRoutingState._apply_configuration = apply_configuration


def extend_deadlines() -> None:
    """Extend the deadline of every request by 60 s."""
    original = relay_module.Relay._serve

    async def serve(self: Any, served: Any, time_limit_seconds: float) -> None:
        served.deadline += 60
        await original(self, served, time_limit_seconds + 60)

    relay_module.Relay._serve = serve


def leak_sockets() -> None:
    """Leak one file descriptor per request."""
    leaked_sockets: list[socket.socket] = []
    original = relay_module.Relay.handle

    async def handle(self: Any, call: Any, caller: Any) -> None:
        leaked_sockets.append(socket.socket())
        await original(self, call, caller)

    relay_module.Relay.handle = handle


def refuse_check_route() -> None:
    """Refuse every request of one route."""
    original = relay_module.Relay._serve

    async def serve(self: Any, served: Any, time_limit_seconds: float) -> None:
        if served.route.name == 'check':
            await self._responder.send_error(
                served, _responder.UNAVAILABLE, 'no'
            )
        else:
            await original(self, served, time_limit_seconds)

    relay_module.Relay._serve = serve


def exit_after_start() -> None:
    """Exit the process 5 s after its start."""
    original = RelayHost.start

    async def start(self: Any) -> None:
        await original(self)
        asyncio.get_running_loop().call_later(
            5, lambda: __import__('os')._exit(3)
        )

    RelayHost.start = start


def drop_large_notes() -> None:
    """Drop the notes to other hosts that do not fit into one datagram."""
    original = _exchange.encode_note_datagrams

    def encode_note_datagrams(note: Any, note_number: int) -> list[bytes]:
        datagrams = original(note, note_number)
        return datagrams if len(datagrams) == 1 else []

    _exchange.encode_note_datagrams = encode_note_datagrams


def fail_reads_at_odd_entries() -> None:
    """Fail a whole read of servers if an entry of it can not be read."""
    original = _store.decode_tail
    decoder = PlatformDecoder()

    def decode_tail(topic: str, body: bytes, start: int) -> Any:
        end, entries = original(topic, body, start)
        if topic == 'keyed.servers' and any(
            entry.content
            and decoder.decode_registration(entry.key, entry.content) is None
            for entry in entries
        ):
            raise _store.StoreRecordsError
        return end, entries

    _store.decode_tail = decode_tail


def return_to_older_versions() -> None:
    """Return to the version before each new one after half a second."""
    original = ReplicatedRoutingState._apply_configuration
    contents: list[bytes] = []

    def apply_configuration(self: Any, key: str, content: bytes) -> None:
        original(self, key, content)
        contents.append(content)
        if len(contents) > 1:
            asyncio.get_running_loop().call_later(
                0.5, apply_older, self, key, contents[-2]
            )

    def apply_older(state: Any, key: str, content: bytes) -> None:
        state._routes = None
        original(state, key, content)

    ReplicatedRoutingState._apply_configuration = apply_configuration


def forget_leaving_notices() -> None:
    """Send new work to servers that say in their answers that they leave."""
    ServerNotices.note_leaving = lambda *_: False


def forget_pauses() -> None:
    """Send new work to servers that asked for a pause."""
    ServerNotices.note_pause = lambda *_: False


def believe_copied_refusals() -> None:
    """Send a request again on a connection that has carried its id."""

    def begin_request(self: Any, request_id: str | None) -> bool:
        self.request_id = request_id
        return True

    BoundedConnection.begin_request = begin_request


def believe_refusals_of_others() -> None:
    """Take a refusal with any id for the answer to a request."""
    original = _servers._ServerConnection.is_answer

    def is_answer(self: Any, message: Any) -> bool:
        return _servers.names.NOT_RUN in message.headers or original(
            self, message
        )

    _servers._ServerConnection.is_answer = is_answer


def abort_callers() -> None:
    """Abort one caller in twenty instead of passing on an answer."""
    original = _forwarder.Forwarder._relay_body

    async def relay_body(self: Any, served: Any, *answer: Any) -> Any:
        if hash(served.call.request_id) % 20 == 0:
            served.caller.abort()
            return 0, 'aborted'
        return await original(self, served, *answer)

    _forwarder.Forwarder._relay_body = relay_body


def ignore_eras() -> None:
    """Compare the offsets of a store that was restored with earlier ones."""
    _store._parse_era = lambda _: 0


def return_to_versions_of_copies() -> None:
    """Put the version in force that a restored store holds, old or not."""
    original = ReplicatedRoutingState._note_restore

    def note_restore(self: Any, stream: str) -> None:
        if stream == CONFIGURATION_STREAM:
            self._routes = None
        original(self, stream)

    ReplicatedRoutingState._note_restore = note_restore


def share_fencing_tokens() -> None:
    """Use one fencing token for all claims of an era."""
    _duty_api._fence_token = lambda number: number.era + 1


def keep_former_terms() -> None:
    """Go on with the duties under a claim that has ended."""

    async def drop(self: Any) -> None:
        self._term = None

    DutyHolder._stop_term = drop
    DutyHolder.is_valid = lambda *_: True


def count_at_each_report() -> None:
    """Send a window with other counts each time."""
    original = HttpDutyApi.report_usage
    numbers = itertools.count(1)

    async def report(self: Any, lease: Any, content: bytes) -> Any:
        document = json.loads(content)
        document['counts']['again'] = next(numbers)
        return await original(self, lease, json.dumps(document).encode())

    HttpDutyApi.report_usage = report


MUTATIONS: dict[str, Callable[[], None]] = {
    mutation.__name__: mutation
    for mutation in (
        retry_executed_requests,
        report_failures_as_not_executed,
        accept_truncated_responses,
        drop_last_event_id,
        complete_truncated_streams,
        trust_caller_headers,
        use_draining_servers,
        stop_without_draining,
        ignore_new_versions,
        extend_deadlines,
        leak_sockets,
        refuse_check_route,
        exit_after_start,
        drop_large_notes,
        fail_reads_at_odd_entries,
        return_to_older_versions,
        forget_leaving_notices,
        forget_pauses,
        ignore_eras,
        return_to_versions_of_copies,
        believe_copied_refusals,
        believe_refusals_of_others,
        abort_callers,
        share_fencing_tokens,
        keep_former_terms,
        count_at_each_report,
    )
}
