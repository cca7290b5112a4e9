"""Selects the servers to which a call may move from a silent one."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.relay._server_gate import Obstacle, Selection

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockledge.calls import ServerInstance
    from burdockledge.relay._server_gate import ServerGate
    from burdockledge.scheduling import HealthTracker, LoadTracker

# For this long, one search answers all calls of a service that find no server:
# the streams of a server fall silent together, and each asks twice a second.
_SEARCH_VALID_SECONDS: Final = 0.25


@dataclass(frozen=True, slots=True)
class _Search:
    """
    The servers of a service that could begin any call, at one time.

    ``searched_at`` is in seconds of the monotonic clock.
    """

    searched_at: float
    able_ids: frozenset[str]
    left_out: Counter[Obstacle]

    def is_over(self, now: float) -> bool:
        """Return whether the result is too old to be used."""
        return now - self.searched_at >= _SEARCH_VALID_SECONDS


class MoveTargets:
    """
    Tells which servers can begin a call that another server has.

    A silent server may go on at any time, so a call gains by a move only if
    it does not wait at the other server as well.
    """

    def __init__(
        self, gate: ServerGate, health: HealthTracker, loads: LoadTracker
    ) -> None:
        """Create a selection that reads health and loads as they change."""
        self._gate = gate
        self._health = health
        self._loads = loads
        # By service, and whether full servers are left out.
        self._searches: dict[tuple[str, bool], _Search] = {}

    def known_lack(
        self, silent: ServerInstance, tried_ids: Collection[str], now: float
    ) -> Selection | None:
        """
        Return an empty selection if a recent search found no server.

        :param tried_ids: instances to which the call was sent.
        """
        leaves_out_full = self._is_sound(silent, now)
        key = (silent.service, leaves_out_full)
        search = self._searches.get(key)
        if search is None or search.is_over(now):
            search = self._search(silent, now)
            self._drop_old_searches(now)
            self._searches[key] = search
        if not search.able_ids.issubset(tried_ids):
            return None
        left_out = search.left_out + Counter(
            {Obstacle.tried: len(search.able_ids)}
        )
        return Selection([], left_out)

    def note_lack(
        self, silent: ServerInstance, tried_ids: Collection[str], now: float
    ) -> None:
        """Record that a call found no server but those it has tried."""
        key = (silent.service, self._is_sound(silent, now))
        search = self._searches.get(key)
        if search is not None:
            able_ids = search.able_ids.intersection(tried_ids)
            self._searches[key] = _Search(
                search.searched_at, able_ids, search.left_out
            )

    def narrow(
        self, selection: Selection, silent: ServerInstance, now: float
    ) -> Selection:
        """
        Leave out servers that do not answer, or have all slots taken.

        A full server is better than a silent one that answers no other call
        either, or is no longer registered.

        :param selection: the servers that may get the call.
        """
        notices = self._gate.notices
        answering = selection.without(
            Obstacle.unreachable,
            lambda one: self._health.is_paused(one.instance_id, now),
        ).without(
            Obstacle.recovering,
            lambda one: notices.is_recovering(one.instance_id, now),
        )
        if not self._is_sound(silent, now):
            return answering
        return answering.without(
            Obstacle.full, lambda one: self._is_full(one, now)
        )

    def _search(self, silent: ServerInstance, now: float) -> _Search:
        able = self.narrow(
            self._gate.select(silent.service, (), now), silent, now
        )
        able_ids = frozenset(one.instance_id for one in able.instances)
        return _Search(now, able_ids, able.left_out)

    def _drop_old_searches(self, now: float) -> None:
        for key, search in tuple(self._searches.items()):
            if search.is_over(now):
                self._searches.pop(key)

    def _is_sound(self, instance: ServerInstance, now: float) -> bool:
        return self._gate.registry.is_ready(
            instance, now
        ) and not self._health.is_paused(instance.instance_id, now)

    def _is_full(self, instance: ServerInstance, now: float) -> bool:
        # Servers may state no slots.
        if not instance.slots:
            return False
        load = self._loads.load_of(instance.instance_id)
        return load.running_calls(now) >= instance.slots


__all__ = ('MoveTargets',)
