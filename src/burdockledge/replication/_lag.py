"""Tells how long a host has lacked records that another host holds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from burdockledge.replication._state import StreamState

_log = make_logger('exchange')

# Shorter lags are usual: a peer holds records that are still on their way.
_MIN_LOGGED_LAG_SECONDS: Final = 1.0


@dataclass(slots=True)
class _Lag:
    """The place of a peer ahead, and since when the host is behind."""

    place: tuple[int, int]
    peer: str
    since: float
    is_logged: bool = False


class StreamLags:
    """
    The lags of one host behind its peers, by stream.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Create a set without lags."""
        self._lags: dict[str, _Lag] = {}

    def seconds(self, stream: str, now: float) -> float:
        """Return for how long another host has known more, 0 if none does."""
        lag = self._lags.get(stream)
        return 0.0 if lag is None else now - lag.since

    def note_peer(
        self,
        state: StreamState,
        place: tuple[int, int],
        peer: str,
        now: float,
    ) -> None:
        """Note the era and position of a stream that a peer has named."""
        if place <= state.place:
            return
        lag = self._lags.get(state.stream)
        if lag is None:
            lag = _Lag(place, peer, now)
            self._lags[state.stream] = lag
        elif place > lag.place:
            lag.place = place
            lag.peer = peer
        if not lag.is_logged and now - lag.since > _MIN_LOGGED_LAG_SECONDS:
            lag.is_logged = True
            _log.warning(
                'Stream is behind a peer.',
                stream=state.stream,
                era=state.era,
                position=state.position,
                peer_era=lag.place[0],
                peer_position=lag.place[1],
                peer=lag.peer,
                seconds=round(now - lag.since, 3),
            )

    def note_merge(self, state: StreamState, source: str, now: float) -> None:
        """Note that a stream has got records from a source."""
        lag = self._lags.get(state.stream)
        if lag is None or state.place < lag.place:
            return
        self._lags.pop(state.stream)
        if lag.is_logged:
            _log.info(
                'Stream has caught up.',
                stream=state.stream,
                era=state.era,
                position=state.position,
                source=source,
                seconds=round(now - lag.since, 3),
            )


__all__ = ('StreamLags',)
