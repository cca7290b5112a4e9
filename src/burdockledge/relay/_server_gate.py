"""The one place that says whether a server may be used, and why not."""

from __future__ import annotations

import enum
import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from burdockledge.scheduling import ServerNotices
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from burdockledge.calls import ServerInstance
    from burdockledge.registry import ServerRegistry
    from burdockledge.scheduling import (
        ServerDepartures,
        ServerNotice,
        ServerRateLimits,
    )

_log = make_logger('servers')


class Obstacle(enum.Enum):
    """Why a server must not get a call."""

    tried = 'it was tried before'
    leaving = 'it said that it leaves'
    pause = 'it asked for a pause'
    limit = 'it is at the limit that it names'
    recovering = 'no answer has come since its pause'
    departure = 'it leaves before the stream would end'
    unregistered = 'its registration is gone or draining'
    unreachable = 'calls to it got no answer lately'
    full = 'all of its slots are taken'


@dataclass(frozen=True, slots=True)
class Selection:
    """The servers that may get a call, and how many of them may not, by why."""

    instances: list[ServerInstance]
    left_out: Counter[Obstacle] = field(default_factory=Counter)

    def counts(self) -> dict[str, int]:
        """Return the servers that are left out, by the name of the obstacle."""
        return {
            obstacle.name: count for obstacle, count in self.left_out.items()
        }

    def lasting(
        self,
        departures: ServerDepartures,
        seconds_at: Callable[[ServerInstance], float],
        now: float,
    ) -> Selection:
        """
        Leave out servers that a stream would outlast.

        :param seconds_at: returns how long the stream takes at a server.
        """
        return self._narrow(
            departures.lasting(self.instances, seconds_at, now),
            Obstacle.departure,
        )

    def without(
        self, obstacle: Obstacle, has_obstacle: Callable[[ServerInstance], bool]
    ) -> Selection:
        """Leave out the servers that have an obstacle."""
        return self._narrow(
            [one for one in self.instances if not has_obstacle(one)], obstacle
        )

    def _narrow(
        self, instances: list[ServerInstance], obstacle: Obstacle
    ) -> Selection:
        left_out = Counter(self.left_out)
        left_out[obstacle] += len(self.instances) - len(instances)
        return Selection(instances, +left_out)


class ServerGate:
    """
    Joins what the store, the servers and the call itself say of servers.

    Placement, repeats, waits and the last step before a call is sent ask here.
    The quarantine of prompt parts concerns the call at every server, and is
    asked before.
    """

    def __init__(
        self, registry: ServerRegistry, limits: ServerRateLimits
    ) -> None:
        """Create a gate without notices of servers."""
        self._registry = registry
        self._limits = limits
        self.notices = ServerNotices()

    def snapshot(self) -> ServerGate:
        """Return a gate whose answers change nothing here."""
        other = ServerGate(self._registry.snapshot(), self._limits.snapshot())
        other.notices = self.notices
        return other

    @property
    def registry(self) -> ServerRegistry:
        """The registered servers."""
        return self._registry

    @property
    def limited_ids(self) -> Collection[str]:
        """The instances that name a limit."""
        return self._limits.limited_ids

    def select(
        self, service: str, tried_instance_ids: Collection[str], now: float
    ) -> Selection:
        """
        Return the servers of a service that may get a call now.

        A call that was tried before goes to a server whose pause is just over
        only if there is no other one: it is likely to be turned away again.
        """
        exhausted_ids = self._limits.exhausted_ids(now)
        instances = self._registry.ready_instances(service, now)
        if not (tried_instance_ids or exhausted_ids or self.notices.has_any):
            # Nearly always: each placement of a call passes here.
            return Selection(instances)
        usable: list[ServerInstance] = []
        obstacles: list[Obstacle] = []
        for instance in instances:
            obstacle = self._obstacle(
                instance.instance_id, tried_instance_ids, exhausted_ids, now
            )
            if obstacle is None:
                usable.append(instance)
            else:
                obstacles.append(obstacle)
        selection = Selection(usable, Counter(obstacles))
        return (
            self._without_recovering(selection, now)
            if tried_instance_ids
            else selection
        )

    def obstacle_to_send(
        self, instance: ServerInstance, now: float
    ) -> Obstacle | None:
        """
        Return why a call that was placed must not be sent any more.

        The limit of the server was charged when the call was placed.
        """
        obstacle = self._obstacle(instance.instance_id, (), (), now)
        if obstacle is None and not self._registry.is_ready(instance, now):
            return Obstacle.unregistered
        return obstacle

    def seconds_until_usable(
        self, service: str, tried_instance_ids: Collection[str], now: float
    ) -> float | None:
        """
        Return when the first server ends its pause or has room in its limit.

        :param tried_instance_ids: instances that must not be used.
        :return: seconds from now, None if only new servers can help.
        """
        waits = [
            self.wait_seconds(instance.instance_id, now)
            for instance in self._registry.ready_instances(service, now)
            if instance.instance_id not in tried_instance_ids
            and not self.notices.is_leaving(instance.instance_id)
        ]
        return min(waits, default=None)

    def wait_seconds(self, instance_id: str, now: float) -> float:
        """Return when an instance ends its pause and has room in its limit."""
        room = self._limits.seconds_until_room((instance_id,), now)
        return max(room or 0.0, self.notices.pause_seconds(instance_id, now))

    def note(
        self, instance: ServerInstance, notice: ServerNotice, now: float
    ) -> None:
        """Apply what the head of a response of a server says of it."""
        server = instance.server_id
        seconds = notice.pause_seconds
        if math.isnan(seconds):
            _log.warning('Pause can not be read.', server=server)
        elif self.notices.note_pause(instance.instance_id, seconds, now):
            _log.info(
                'Server asks for a pause.', server=server, seconds=seconds
            )
        elif not self.notices.pause_seconds(instance.instance_id, now):
            self.notices.note_answer(instance.instance_id)
        if notice.is_leaving and self.notices.note_leaving(
            instance.instance_id
        ):
            _log.info(
                'Server leaves.', server=instance.instance_id, witness='own'
            )

    def _without_recovering(
        self, selection: Selection, now: float
    ) -> Selection:
        settled = [
            instance
            for instance in selection.instances
            if not self.notices.is_recovering(instance.instance_id, now)
        ]
        left_out = len(selection.instances) - len(settled)
        if not settled or not left_out:
            return selection
        selection.left_out[Obstacle.recovering] = left_out
        return Selection(settled, selection.left_out)

    def _obstacle(
        self,
        instance_id: str,
        tried_instance_ids: Collection[str],
        exhausted_ids: Collection[str],
        now: float,
    ) -> Obstacle | None:
        if instance_id in tried_instance_ids:
            return Obstacle.tried
        if self.notices.is_leaving(instance_id):
            return Obstacle.leaving
        if self.notices.pause_seconds(instance_id, now):
            return Obstacle.pause
        return Obstacle.limit if instance_id in exhausted_ids else None


__all__ = ('Obstacle', 'Selection', 'ServerGate')
