"""What every entry host sent to a backend server, as this host knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling._cache import PrefixCache

if TYPE_CHECKING:
    from burdockledge.relay import Prompt, ServerRef

# An engine of the users reads 112 to 157 prompt tokens in a millisecond.
PREFILL_TOKENS_PER_SECOND: Final = 112_000.0
# The end of a call may be lost with its host; longest time limit of the users.
FORGET_CALL_SECONDS: Final = 12.0
_DEFAULT_CACHE_TOKENS: Final = 500_000


@dataclass(frozen=True, slots=True)
class CallStart:
    """A call that was sent to a server, by any host."""

    call: int
    server: str
    tier: int
    unread_tokens: int
    prompt: Prompt
    output_tokens: int = 0
    is_brisk: bool = False


@dataclass(slots=True)
class ServerLoad:
    """
    The load on one incarnation of a server.

    Prompt tokens still to be read are a fluid queue for each tier, which
    drains at the speed of an engine, the most urgent tier first.
    """

    cache: PrefixCache
    _running: dict[int, float] = field(default_factory=dict)
    _unread: dict[int, float] = field(default_factory=dict)
    _drained_at: float = 0.0

    def start(self, call: CallStart, now: float) -> None:
        """Note a call that was sent here."""
        self._drain(now)
        self._running[call.call] = now
        queued = self._unread.get(call.tier, 0.0)
        self._unread[call.tier] = queued + call.unread_tokens
        self.cache.use(call.prompt)

    def end(self, call: int) -> None:
        """Note that a call ended here."""
        self._running.pop(call, None)

    def running(self, now: float) -> int:
        """Return how many calls are at the server."""
        stale = [
            call
            for call, started_at in self._running.items()
            if now - started_at > FORGET_CALL_SECONDS
        ]
        for call in stale:
            self._running.pop(call)
        return len(self._running)

    def backlog_seconds(self, tier: int, now: float) -> float:
        """Return how long a call of a tier waits for prompts before it."""
        self._drain(now)
        ahead = sum(
            tokens for known, tokens in self._unread.items() if known <= tier
        )
        return ahead / PREFILL_TOKENS_PER_SECOND

    def whole_backlog_seconds(self, now: float) -> float:
        """Return how long prompts of any tier are still read here."""
        self._drain(now)
        return sum(self._unread.values()) / PREFILL_TOKENS_PER_SECOND

    def _drain(self, now: float) -> None:
        room = (now - self._drained_at) * PREFILL_TOKENS_PER_SECOND
        self._drained_at = now
        for tier in sorted(self._unread):
            used = min(room, self._unread[tier])
            room -= used
            self._unread[tier] -= used
            if not self._unread[tier]:
                self._unread.pop(tier)


class LoadBook:
    """The loads of all servers."""

    def __init__(self) -> None:
        """Create a book without servers."""
        self._loads: dict[str, ServerLoad] = {}
        self._capacities: dict[str, int] = {}

    def configure(self, server: str, cache_tokens: int) -> None:
        """Set the cache size of a server that has not been used yet."""
        self._capacities[server] = cache_tokens

    def of(self, server: str) -> ServerLoad:
        """Return the load of an incarnation of a server."""
        load = self._loads.get(server)
        if load is None:
            tokens = self._capacities.get(server, _DEFAULT_CACHE_TOKENS)
            load = ServerLoad(PrefixCache(tokens))
            self._loads[server] = load
        return load

    def start(self, call: CallStart, now: float) -> None:
        """Note a call that was sent, by this host or another."""
        self.of(call.server).start(call, now)

    def end(self, server: str, call: int) -> None:
        """Note that a call ended."""
        load = self._loads.get(server)
        if load is not None:
            load.end(call)

    def keep(self, refs: list[ServerRef]) -> None:
        """Forget the servers that are not registered any more."""
        known = {ref.key for ref in refs}
        for server in tuple(self._loads):
            if server not in known:
                self._loads.pop(server)
                self._capacities.pop(server, None)


__all__ = (
    'FORGET_CALL_SECONDS',
    'PREFILL_TOKENS_PER_SECOND',
    'CallStart',
    'LoadBook',
    'ServerLoad',
)
