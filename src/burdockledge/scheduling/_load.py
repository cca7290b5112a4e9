"""What every entry host sent to a backend server, as this host knows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.scheduling._cache import PrefixCache

if TYPE_CHECKING:
    from burdockledge.relay import Prompt, ServerInstance

# Prompt tokens that an engine reads in a second until calls tell; engines of
# the users read 112 to 157 in a millisecond, less what running streams take.
PREFILL_TOKENS_PER_SECOND: Final = 80_000.0
# The end of a call may be lost with its host; longest time limit of the users.
FORGET_CALL_SECONDS: Final = 12.0
_DEFAULT_CACHE_TOKENS: Final = 500_000
# From the send to a first event of a prompt without tokens (engines of the
# users: 31 ms, and the way).
_FIRST_EVENT_SECONDS: Final = 0.035
# Only the reading of prompts of some chunks tells the speed of an engine.
_TELLING_TOKENS: Final = 6000
_SPEED_WEIGHT: Final = 0.2
_SLOWEST: Final = 10_000.0
_FASTEST: Final = 400_000.0


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
class _Unread:
    """A call whose prompt is not read; ``is_alone``: none was before it."""

    tier: int
    tokens: int
    prompt: Prompt
    sent_at: float
    is_alone: bool


class ServerLoad:
    """The load on one incarnation of a server."""

    def __init__(self, cache: PrefixCache, speed: float) -> None:
        """Create an idle server that reads ``speed`` tokens a second."""
        self.cache = cache
        self.speed = speed
        self._running: dict[int, float] = {}
        self._unread: dict[int, _Unread] = {}
        self._reading_since = 0.0

    def start(self, call: CallStart, now: float) -> None:
        """Note a call that was sent here."""
        if not self._unread:
            self._reading_since = now
        self._running[call.call] = now
        self._unread[call.call] = _Unread(
            call.tier,
            call.unread_tokens,
            call.prompt,
            now,
            not self._unread,
        )
        self.cache.use(call.prompt)

    def hear(self, call: int, now: float) -> None:
        """Note the first event of a call: its prompt was read."""
        unread = self._unread.pop(call, None)
        if unread is None:
            return
        self.cache.note_read(unread.prompt)
        self._reading_since = now
        seconds = now - unread.sent_at - _FIRST_EVENT_SECONDS
        if not unread.is_alone or unread.tokens < _TELLING_TOKENS:
            return
        if seconds > 0:
            speed = min(_FASTEST, max(_SLOWEST, unread.tokens / seconds))
            self.speed += _SPEED_WEIGHT * (speed - self.speed)

    def end(self, call: int) -> None:
        """Note that a call ended here."""
        self._running.pop(call, None)
        self._unread.pop(call, None)

    def running(self, now: float) -> int:
        """Return how many calls are at the server."""
        while self._running:
            oldest = next(iter(self._running))
            if now - self._running[oldest] <= FORGET_CALL_SECONDS:
                break
            self.end(oldest)
        return len(self._running)

    def backlog_seconds(self, tier: int | None, now: float) -> float:
        """
        Return how long prompts are still read here.

        :param tier: count only what a call of this tier waits for, if any.
        """
        if not self._unread:
            return 0.0
        ahead = 0
        largest = 0
        for unread in self._unread.values():
            largest = max(largest, unread.tokens)
            if tier is None or unread.tier <= tier:
                ahead += unread.tokens
        # What was read since the last first event is not told yet; it is at
        # most the prompt that is being read.
        read = min((now - self._reading_since) * self.speed, largest)
        return max(0.0, ahead - read) / self.speed


class LoadBook:
    """The loads of all servers."""

    def __init__(self) -> None:
        """Create a book without servers."""
        self._loads: dict[str, ServerLoad] = {}
        self._capacities: dict[str, int] = {}

    def configure(self, server: str, cache_tokens: int) -> None:
        """Set the cache size of a server."""
        self._capacities[server] = cache_tokens
        load = self._loads.get(server)
        if load is not None:
            load.cache.resize(cache_tokens)

    def of(self, server: str) -> ServerLoad:
        """Return the load of an incarnation of a server."""
        load = self._loads.get(server)
        if load is None:
            tokens = self._capacities.get(server, _DEFAULT_CACHE_TOKENS)
            load = ServerLoad(PrefixCache(tokens), self._mean_speed())
            self._loads[server] = load
        return load

    def start(self, call: CallStart, now: float) -> None:
        """Note a call that was sent, by this host or another."""
        self.of(call.server).start(call, now)

    def hear(self, server: str, call: int, now: float) -> None:
        """Note the first event of a call."""
        load = self._loads.get(server)
        if load is not None:
            load.hear(call, now)

    def end(self, server: str, call: int) -> None:
        """Note that a call ended."""
        load = self._loads.get(server)
        if load is not None:
            load.end(call)

    def keep(self, instances: list[ServerInstance]) -> None:
        """Forget the servers that are not registered any more."""
        known = {instance.instance_id for instance in instances}
        for server in tuple(self._loads):
            if server not in known:
                self._loads.pop(server)
                self._capacities.pop(server, None)

    def _mean_speed(self) -> float:
        if not self._loads:
            return PREFILL_TOKENS_PER_SECOND
        speeds = [load.speed for load in self._loads.values()]
        return sum(speeds) / len(speeds)


__all__ = (
    'FORGET_CALL_SECONDS',
    'PREFILL_TOKENS_PER_SECOND',
    'CallStart',
    'LoadBook',
    'ServerLoad',
)
