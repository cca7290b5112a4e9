"""The interface to what a host knows of configuration, servers and loads."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from burdockledge.calls import ResponseProgress
from burdockledge.scheduling import CallResult

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.admission import LoadRefusal
    from burdockledge.calls import Prompt, Route, ServerInstance
    from burdockledge.quarantine import Verdict
    from burdockledge.relay._routes import RouteIndex
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.relay._server_gate import Selection
    from burdockledge.scheduling import ServerNotice


@dataclass(frozen=True, slots=True)
class Placement:
    """
    The server chosen for one send of a call, and why it was chosen.

    ``call_id`` names the send in the call events that other hosts get.
    ``cost_seconds`` is the server's estimated cost, the lowest of all.
    ``prefill_tokens`` is what the server has to prefill, ``running_calls``
    how many calls it had before. The server fetches cached parts of the
    prompt from ``cache_source``, if any. ``placed_at`` is in seconds of the
    monotonic clock. ``left_out`` is how many servers were left out, by the
    names of what kept them from the call. ``urgency`` is sent to the server
    in place of that of the call, unless None. ``forecast_seconds`` is the
    expected time to the first event, 0 if it was not needed, and
    ``forecast_run_seconds`` that from there to the end.
    """

    call_id: int
    instance: ServerInstance
    cost_seconds: float
    prefill_tokens: int
    running_calls: int
    cache_source: ServerInstance | None = None
    placed_at: float = 0.0
    left_out: Mapping[str, int] = field(default_factory=dict)
    urgency: int | None = None
    forecast_seconds: float = 0.0
    forecast_run_seconds: float = 0.0


@dataclass(slots=True)
class SendOutcome:
    """
    How one send of a call ended, updated as the send progresses.

    ``has_broken`` tells whether its connection broke, which is how the crash
    of a server shows.
    """

    result: CallResult = CallResult.abandoned
    progress: ResponseProgress = ResponseProgress.nothing
    has_broken: bool = False


class RoutingState(ABC):
    """
    What one host knows about the configuration, the servers and their loads.

    It chooses the servers of calls and records the results of their sends.
    """

    @property
    def sheds_load(self) -> bool:
        """Whether calls may be refused for lack of room."""
        return False

    @abstractmethod
    def routes(self) -> RouteIndex | None:
        """Return the routes of the newest configuration, None before one."""

    @abstractmethod
    async def wait_ready(self) -> None:
        """Wait until the routes and the servers are known."""

    @abstractmethod
    def verdict(self, service: str, prompt: Prompt) -> Verdict:
        """Return whether the parts of a prompt may reach servers now."""

    @abstractmethod
    def may_repeat(self, service: str, prompt: Prompt) -> bool:
        """Return whether a call that may have run may be sent again."""

    @abstractmethod
    def blocked_seconds(self, service: str, prompt: Prompt) -> float | None:
        """Return the time until a blocked call may be tried, None if never."""

    @abstractmethod
    def place(
        self,
        service: str,
        route: Route,
        urgency: int,
        prompt: Prompt,
        tried_instance_ids: frozenset[str],
    ) -> Placement | None:
        """
        Choose a server and record that a call is sent to it.

        :param urgency: 0 is the highest priority.
        :param tried_instance_ids: instances that must not be chosen.
        :return: None if no server is left to try.
        """

    def place_or_refuse(
        self, served: ServedCall
    ) -> Placement | LoadRefusal | None:
        """
        Place a call if there is room for it.

        A call is refused only before its first send.
        """
        return self.place(
            served.service,
            served.route,
            served.urgency,
            served.call.prompt,
            frozenset(served.tried_instance_ids),
        )

    @abstractmethod
    def place_elsewhere(
        self, served: ServedCall, silent: Placement
    ) -> Placement | Selection:
        """
        Place a call whose server is silent, if another one can begin it now.

        Unlike ``place``, it chooses no server that answers nobody or has all
        slots taken: the silent server may go on sooner. A server with all
        slots taken is chosen only if the silent one answers nobody either.

        :param silent: the placement at the silent server.
        :return: an empty selection with those left out, if none is chosen.
        """

    @abstractmethod
    def note_refusal(self, served: ServedCall, refusal: LoadRefusal) -> None:
        """Record that the caller is told to come back."""

    @abstractmethod
    def seconds_until_usable(
        self, service: str, tried_instance_ids: frozenset[str]
    ) -> float | None:
        """
        Return when a server ends its pause or has room within its limit.

        :param tried_instance_ids: instances that must not be chosen.
        :return: seconds from now, None if only new servers can help.
        """

    @abstractmethod
    def retry_after_seconds(self, service: str) -> float:
        """Return when the caller of a call without a server may come back."""

    @abstractmethod
    def obstacle_to_send(self, placement: Placement) -> str | None:
        """
        Return why a placed call must not be sent after all, None if it may.

        It is asked once more as the call is sent: servers give notice while a
        connection is opened.
        """

    @abstractmethod
    def note_server_notice(
        self, placement: Placement, notice: ServerNotice
    ) -> None:
        """Apply what the head of a response says of its server."""

    @abstractmethod
    def note_response_start(
        self, placement: Placement, call_rate_limit: float | None
    ) -> None:
        """
        Record that the head of a response has arrived.

        :param call_rate_limit: the calls a second that the server takes from
            all hosts together, None if it names no limit, NaN if it can not
            be read.
        """

    @abstractmethod
    def note_pause(self, placement: Placement, seconds: float) -> None:
        """Learn from a pause between two events of a stream, just ended."""

    @abstractmethod
    def note_stream_end(
        self, placement: Placement, max_output_tokens: int, events: int
    ) -> None:
        """Learn from a complete stream how many events it had."""

    @abstractmethod
    def note_end(self, placement: Placement, outcome: SendOutcome) -> None:
        """Record how a send ended."""

    @abstractmethod
    def note_first_send(self, service: str) -> None:
        """Count the first send of a call for the service's retry budget."""

    @abstractmethod
    def take_retry(self, service: str) -> bool:
        """Take a retry from the service's budget; return False without one."""

    @abstractmethod
    def give_back_retry(self, service: str) -> None:
        """Return a retry that was taken and not used."""

    @abstractmethod
    def age_ms(self) -> int:
        """Return the age of the older of configuration and server records."""


__all__ = ('Placement', 'RoutingState', 'SendOutcome')
