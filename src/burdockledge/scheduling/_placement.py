"""What is asked of a placement policy, and what it answers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from burdockledge.calls import Prompt, ServerInstance


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """
    How servers are chosen.

    With ``weighs_pressure``, what a prompt adds to the pauses of streams is
    learnt by its size, and slots, memory and the doubt about cached prompts
    count. Without it, these are neither learnt nor weighed. With
    ``sheds_load``, calls may be refused for lack of room.
    """

    weighs_pressure: bool = False
    sheds_load: bool = False


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """
    The properties of a call that decide on its server.

    Urgency 0 is the highest priority.
    """

    service: str
    urgency: int
    prompt: Prompt
    data_centre: str
    latency_target_seconds: float = 1.0
    pause_target_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """
    A server with its cost and the figures behind it.

    ``prefill_tokens`` is what the server would have to prefill,
    ``running_calls`` the calls that it has already. It would fetch cached
    parts of the prompt from ``cache_source``, if any.
    """

    instance: ServerInstance
    cost_seconds: float
    prefill_tokens: int
    running_calls: int
    cache_source: ServerInstance | None = None


class ServerPolicy(ABC):
    """Chooses the server of a call."""

    @abstractmethod
    def choose(
        self,
        instances: list[ServerInstance],
        request: PlacementRequest,
        now: float,
        limited_instance_ids: Collection[str] = (),
    ) -> PlacementChoice | None:
        """
        Return the server that is best for a call, None if there is none.

        :param limited_instance_ids: instances that take only so many calls a
            second.
        """


__all__ = (
    'PlacementChoice',
    'PlacementOptions',
    'PlacementRequest',
    'ServerPolicy',
)
