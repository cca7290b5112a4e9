"""The routing state of an entry host, replicated among all hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from burdockledge.admission import LoadRefusal
from burdockledge.calls import Prompt, RouteKind
from burdockledge.relay._admission_gate import AdmissionGate
from burdockledge.relay._call_codec import decode_call_start, encode_call_start
from burdockledge.relay._limit_guard import LimitGuard, limit_on_the_wire
from burdockledge.relay._move_targets import MoveTargets
from burdockledge.relay._part_guard import PartGuard
from burdockledge.relay._record_decoder import RecordDecoder
from burdockledge.relay._retry_budget import (
    RetryBudgets,
    RetryBudgetSettings,
)
from burdockledge.relay._routes import RouteIndex
from burdockledge.relay._routing_state import Placement, RoutingState
from burdockledge.relay._server_gate import Selection, ServerGate
from burdockledge.relay._server_records import ServerRecords
from burdockledge.scheduling import (
    CallResult,
    CallStart,
    HealthTracker,
    LoadTracker,
    PlacementOptions,
    PlacementRequest,
    make_policy,
)
from burdockledge.telemetry import make_logger
from burdockledge.wire import (
    NO_ERA,
    CallEnded,
    CallHeard,
    CallStarted,
    StreamEntry,
    hash_server_key,
)

if TYPE_CHECKING:
    from random import Random

    from burdockledge.calls import Route, ServerInstance
    from burdockledge.clock import Clock
    from burdockledge.quarantine import Verdict
    from burdockledge.registry import ServerRegistry
    from burdockledge.relay._routing_state import SendOutcome
    from burdockledge.relay._served_call import ServedCall
    from burdockledge.replication import GossipExchange
    from burdockledge.scheduling import PlacementChoice, ServerNotice
    from burdockledge.wire import Note

_log = make_logger('knowledge')

CONFIGURATION_STREAM: Final = 'configuration'
SERVERS_STREAM: Final = 'servers'
STREAMS: Final = (CONFIGURATION_STREAM, SERVERS_STREAM)
_CALL_RESULTS: Final = {result.value: result for result in CallResult}
# Short random ids keep the datagrams small; two calls at one server within
# some seconds are unlikely to share one.
_CALL_ID_BITS: Final = 31
_MS_PER_SECOND: Final = 1000


class ReplicatedRoutingState(RoutingState):
    """
    What a host knows from replicated records and the calls of all hosts.

    The records come from the streams of an exchange, through which the
    hosts also tell each other of their calls. ``host_count`` returns how
    many hosts share the retry budgets; ``on_routes`` is called with every
    new version of the routes.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        decoder: RecordDecoder,
        registry: ServerRegistry,
        exchange: GossipExchange,
        retry_settings: RetryBudgetSettings,
        clock: Clock,
        random: Random,
        placement_options: PlacementOptions | None = None,
    ) -> None:
        """Subscribe to the records and call events of an exchange."""
        self._host = host
        self._data_centre = data_centre
        self._decoder = decoder
        self._registry = registry
        self.server_records = ServerRecords(decoder, registry, clock)
        self._exchange = exchange
        self._budgets = RetryBudgets(retry_settings)
        self._clock = clock
        self._random = random
        options = placement_options or PlacementOptions()
        self._loads = LoadTracker(options)
        self._health = HealthTracker(host)
        self._policy = make_policy(options, self._loads, self._health, random)
        self._admission = (
            AdmissionGate(self._loads, random) if options.sheds_load else None
        )
        self.parts = PartGuard(exchange, clock, random)
        self.limits = LimitGuard(exchange, clock, random)
        self.gate = ServerGate(registry, self.limits.limits)
        self._move_targets = MoveTargets(self.gate, self._health, self._loads)
        self.parts.services = self._service_names
        self._routes: RouteIndex | None = None
        self._routes_since = 0.0
        self._ready = asyncio.Event()
        # Call events name the registered instances by these hashes.
        self._instance_ids_by_hash: dict[int, str] = {}
        self.host_count: Callable[[], int] = lambda: 1
        self.on_routes: Callable[[RouteIndex], None] | None = None
        # Called once for each era of the store that follows another one.
        self.on_restore: Callable[[], None] | None = None
        self._restored_era = NO_ERA
        exchange.on_restore = self._note_restore
        exchange.on_change = self._apply_records
        exchange.on_call_events = self._apply_call_events

    @property
    def registry(self) -> ServerRegistry:
        """The registered servers."""
        return self._registry

    @property
    def sheds_load(self) -> bool:
        """Whether calls may be refused for lack of room."""
        return self._admission is not None

    @property
    def loads(self) -> LoadTracker:
        """The loads of the servers, and what their services' calls ask."""
        return self._loads

    @property
    def health(self) -> HealthTracker:
        """The health of the servers."""
        return self._health

    async def wait_ready(self) -> None:
        """Wait until the routes and the servers are known."""
        await self._ready.wait()

    def routes(self) -> RouteIndex | None:
        """Return the routes of the newest configuration, None before one."""
        return self._routes

    def configuration_version(self) -> int:
        """Return the version in force, 0 before one."""
        return 0 if self._routes is None else self._routes.document.version

    def configuration_seconds(self) -> float:
        """Return for how long the version has been in force, 0 before one."""
        if self._routes is None:
            return 0.0
        return self._clock.monotonic() - self._routes_since

    def verdict(self, service: str, prompt: Prompt) -> Verdict:
        """Return whether the parts of a prompt may reach servers now."""
        return self.parts.verdict(service, prompt)

    def may_repeat(self, service: str, prompt: Prompt) -> bool:
        """Return whether a call that may have run may be sent again."""
        return self.parts.may_repeat(service, prompt)

    def blocked_seconds(self, service: str, prompt: Prompt) -> float | None:
        """Return the time until a blocked call may be tried, None if never."""
        return self.parts.blocked_seconds(service, prompt)

    def place(
        self,
        service: str,
        route: Route,
        urgency: int,
        prompt: Prompt,
        tried_instance_ids: frozenset[str],
    ) -> Placement | None:
        """Choose a server, and tell the other hosts that it gets a call."""
        now = self._clock.monotonic()
        request = self._request(service, route, urgency, prompt)
        selection = self._select(request, route, tried_instance_ids, now)
        choice = self._choose(selection, request, now)
        if choice is None:
            return None
        return self._start(request, choice, selection, now)

    def place_or_refuse(
        self, served: ServedCall
    ) -> Placement | LoadRefusal | None:
        """Place a call if there is room for it; see ``AdmissionGate``."""
        if self._admission is None:
            return super().place_or_refuse(served)
        now = self._clock.monotonic()
        request = self._request(
            served.service, served.route, served.urgency, served.call.prompt
        )
        selection = self._select(
            request, served.route, frozenset(served.tried_instance_ids), now
        )
        choice = self._choose(selection, request, now)
        if choice is None:
            return None
        if served.sends or served.may_have_run:
            return self._start(request, choice, selection, now)
        admitted = self._admission.admit(
            served, choice, selection.instances, now
        )
        if isinstance(admitted, LoadRefusal):
            return admitted
        return self._start(
            request,
            choice,
            selection,
            now,
            admitted.urgency,
            admitted.first_event_seconds,
            admitted.run_seconds,
        )

    def place_elsewhere(
        self, served: ServedCall, silent: Placement
    ) -> Placement | Selection:
        """Place a call at a server that can begin it now, if there is one."""
        now = self._clock.monotonic()
        tried_ids = frozenset(served.tried_instance_ids)
        lack = self._move_targets.known_lack(silent.instance, tried_ids, now)
        if lack is not None:
            return lack
        request = self._request(
            served.service, served.route, served.urgency, served.call.prompt
        )
        selection = self._move_targets.narrow(
            self._select(request, served.route, tried_ids, now),
            silent.instance,
            now,
        )
        choice = self._choose(selection, request, now)
        if choice is None:
            self._move_targets.note_lack(silent.instance, tried_ids, now)
            return selection
        return self._start(request, choice, selection, now)

    def note_refusal(self, served: ServedCall, refusal: LoadRefusal) -> None:
        """Remember a call whose caller is told to come back."""
        if self._admission is not None:
            self._admission.note_refusal(
                served, refusal, self._clock.monotonic()
            )

    def _request(
        self, service: str, route: Route, urgency: int, prompt: Prompt
    ) -> PlacementRequest:
        return PlacementRequest(
            service,
            urgency,
            prompt,
            self._data_centre,
            route.latency_target_seconds,
            route.pause_target_seconds,
        )

    def _select(
        self,
        request: PlacementRequest,
        route: Route,
        tried_instance_ids: frozenset[str],
        now: float,
    ) -> Selection:
        selection = self.gate.select(request.service, tried_instance_ids, now)
        departures = self.server_records.departures
        if not departures.has_any or route.kind is not RouteKind.stream:
            return selection
        return selection.lasting(
            departures,
            lambda instance: self._loads.load_of(
                instance.instance_id
            ).stream_seconds(request.prompt, now),
            now,
        )

    def _choose(
        self, selection: Selection, request: PlacementRequest, now: float
    ) -> PlacementChoice | None:
        return self._policy.choose(
            selection.instances,
            request,
            now,
            self.limits.limits.limited_ids,
        )

    def _start(
        self,
        request: PlacementRequest,
        choice: PlacementChoice,
        selection: Selection,
        now: float,
        urgency: int | None = None,
        forecast_seconds: float = 0.0,
        forecast_run_seconds: float = 0.0,
    ) -> Placement:
        """
        Record that a call is sent to a server.

        :param urgency: replaces that of the request, unless None.
        """
        prompt = request.prompt
        call_id = self._random.getrandbits(_CALL_ID_BITS)
        start = CallStart(
            call_id,
            choice.instance.instance_id,
            request.urgency if urgency is None else urgency,
            choice.prefill_tokens,
            prompt,
            prompt.max_output_tokens,
            request.pause_target_seconds,
        )
        self._loads.start(start, now)
        started = encode_call_start(start)
        self.parts.note_start(call_id, started.server, request.service, prompt)
        self.limits.note_call(choice.instance.instance_id)
        self._exchange.call_events.announce_start(started)
        return Placement(
            call_id,
            choice.instance,
            choice.cost_seconds,
            choice.prefill_tokens,
            choice.running_calls,
            choice.cache_source,
            now,
            selection.counts(),
            urgency,
            forecast_seconds,
            forecast_run_seconds,
        )

    def seconds_until_usable(
        self, service: str, tried_instance_ids: frozenset[str]
    ) -> float | None:
        """Return when a server ends its pause or has room, None if never."""
        return self.gate.seconds_until_usable(
            service, tried_instance_ids, self._clock.monotonic()
        )

    def retry_after_seconds(self, service: str) -> float:
        """Return when the caller of a call without a server may come back."""
        now = self._clock.monotonic()
        instances = self._registry.ready_instances(service, now)
        wait = self.gate.seconds_until_usable(service, (), now) or 0.0
        return wait + self.limits.spread_seconds(
            service, [instance.instance_id for instance in instances]
        )

    def obstacle_to_send(self, placement: Placement) -> str | None:
        """Return why a placed call must not be sent, None if it may."""
        obstacle = self.gate.obstacle_to_send(
            placement.instance, self._clock.monotonic()
        )
        return None if obstacle is None else obstacle.value

    def note_server_notice(
        self, placement: Placement, notice: ServerNotice
    ) -> None:
        """Apply what the head of a response says of its server."""
        self.gate.note(placement.instance, notice, self._clock.monotonic())

    def note_response_start(
        self, placement: Placement, call_rate_limit: float | None
    ) -> None:
        """Record a response's head as its first event, and tell other hosts."""
        now = self._clock.monotonic()
        instance_id = placement.instance.instance_id
        seconds = now - placement.placed_at
        self._loads.note_first_event(
            instance_id, placement.call_id, now, seconds
        )
        self.parts.note_head(placement.call_id)
        if self._admission is not None:
            self._admission.note_response_start(placement, now)
        self.limits.note_answer(instance_id, call_rate_limit, seconds)
        self._exchange.call_events.announce_first_event(
            CallHeard(
                placement.call_id,
                hash_server_key(instance_id),
                round(seconds * _MS_PER_SECOND),
                limit_on_the_wire(call_rate_limit),
            )
        )

    def note_pause(self, placement: Placement, seconds: float) -> None:
        """Learn from a pause between two events of a stream."""
        self._loads.note_pause(
            placement.instance.instance_id, seconds, self._clock.monotonic()
        )

    def note_stream_end(
        self, placement: Placement, max_output_tokens: int, events: int
    ) -> None:
        """Learn from a complete stream how many events it had."""
        self._loads.note_stream_end(
            placement.instance.instance_id, max_output_tokens, events
        )

    def note_end(self, placement: Placement, outcome: SendOutcome) -> None:
        """Record how a send ended, and tell the other hosts."""
        instance_id = placement.instance.instance_id
        self._loads.end(instance_id, placement.call_id)
        if self._admission is not None:
            self._admission.note_end(
                placement, outcome.result, self._clock.monotonic()
            )
        self._record_result(instance_id, outcome.result, self._host)
        self.parts.note_end(placement.call_id, outcome)
        self._exchange.call_events.announce_end(
            CallEnded(
                placement.call_id,
                hash_server_key(instance_id),
                outcome.result,
            )
        )

    def note_first_send(self, service: str) -> None:
        """Count the first send of a call for the service's retry budget."""
        self._budgets.of(service).note_first_send(self._clock.monotonic())

    def take_retry(self, service: str) -> bool:
        """Take a retry from the service's budget; return False without one."""
        return self._budgets.of(service).try_spend(
            self._clock.monotonic(), self.host_count()
        )

    def give_back_retry(self, service: str) -> None:
        """Return a retry that was taken and not used."""
        self._budgets.of(service).give_back()

    def apply_retry_settings(self, retry_settings: RetryBudgetSettings) -> None:
        """Change the limits of every retry budget, also of those in use."""
        self._budgets.apply_retry_settings(retry_settings)

    def age_ms(self) -> int:
        """Return the age of the older of configuration and server records."""
        now = self._clock.monotonic()
        return max(
            self._exchange.state(stream).age_ms(now) for stream in STREAMS
        )

    def _service_names(self) -> tuple[str, ...]:
        routes = self._routes
        return () if routes is None else tuple(routes.document.services)

    def _record_result(
        self, instance_id: str, result: CallResult, host: str
    ) -> None:
        now = self._clock.monotonic()
        was_paused = self._health.is_paused(instance_id, now)
        self._health.record(instance_id, result, host, now)
        if result is not CallResult.unreachable:
            return
        if not was_paused and self._health.is_paused(instance_id, now):
            _log.warning('Server is paused.', server=instance_id, witness=host)

    def _apply_records(
        self, stream: str, entries: tuple[StreamEntry, ...]
    ) -> None:
        now = self._clock.monotonic()
        if stream == SERVERS_STREAM:
            fresh_at = self._exchange.state(stream).fresh_at
            self._registry.note_store_read(
                now if fresh_at is None else fresh_at
            )
        instances_added = []
        if stream == SERVERS_STREAM:
            instances_added = self.server_records.apply(entries, now)
            instances_added += self.server_records.release()
        else:
            self._apply_configurations(entries)
        for instance in instances_added:
            self._set_cache_size(instance)
        servers = self._exchange.state(SERVERS_STREAM)
        if self._routes is not None and servers.is_known:
            self._ready.set()
        if entries or instances_added:
            instances = self._registry.all_instances(now)
            self._loads.retain(instances)
            services = self._service_names()
            self._loads.retain_services(services)
            if self._admission is not None:
                self._admission.retain_services(services)
            self._instance_ids_by_hash = {
                hash_server_key(instance.instance_id): instance.instance_id
                for instance in instances
            }
            instance_ids = {instance.instance_id for instance in instances}
            self._health.retain(instance_ids)
            self.limits.retain(instance_ids)
            self.server_records.departures.retain(instance_ids)

    def _note_restore(self, stream: str) -> None:
        if stream == SERVERS_STREAM:
            self._registry.note_restore(self._clock.monotonic())
        era = self._exchange.state(stream).era
        if self.on_restore is not None and era > self._restored_era:
            self._restored_era = era
            self.on_restore()

    def _set_cache_size(self, instance: ServerInstance) -> None:
        if self._routes is None:
            return
        configuration = self._routes.document.services.get(instance.service)
        if configuration is not None and configuration.engine is not None:
            self._loads.set_cache_size(
                instance.instance_id, configuration.engine.cache_tokens
            )

    def _apply_configurations(self, entries: tuple[StreamEntry, ...]) -> None:
        for entry in entries:
            if entry.content is not None:
                self._apply_configuration(entry.key, entry.content)

    def _apply_configuration(self, key: str, content: bytes) -> None:
        document = self._decoder.decode_routing(key, content)
        if document is None:
            return
        current = self._routes
        if current is not None and document.version < current.document.version:
            _log.warning('Older version left out.', version=document.version)
            return
        self._routes = RouteIndex(document)
        self._loads.count_demand(
            [
                service.name
                for service in document.services.values()
                if service.autoscale is not None
            ]
        )
        now = self._clock.monotonic()
        self._routes_since = now
        self._budgets.drop_unused(now)
        if document.routes:
            self._loads.set_call_expiry(
                max(route.timeout_seconds for route in document.routes)
            )
        _log.info(
            'Configuration in force.',
            version=document.version,
            routes=len(document.routes),
            keys=len(document.teams_by_api_key),
            age_ms=self._exchange.state(CONFIGURATION_STREAM).age_ms(now),
            source=self._exchange.sources.get(CONFIGURATION_STREAM),
        )
        for instance in self._registry.all_instances(now):
            self._set_cache_size(instance)
        if self.on_routes is not None:
            self.on_routes(self._routes)

    def _apply_call_events(self, note: Note) -> None:
        now = self._clock.monotonic()
        for started in note.started:
            self._apply_start(started, now)
        for heard in note.heard:
            self._apply_head(heard, now)
        for server in note.limited_calls:
            self.limits.apply_call(self._instance_ids_by_hash.get(server, ''))
        for ended in note.ended:
            self._apply_end(ended, note.host)

    def _apply_start(self, started: CallStarted, now: float) -> None:
        instance_id = self._instance_ids_by_hash.get(started.server)
        if instance_id is None:
            return
        self._loads.start(decode_call_start(started, instance_id), now)
        service = self._registry.service_of(instance_id)
        if service is not None:
            self.parts.apply_start(started, service)

    def _apply_head(self, heard: CallHeard, now: float) -> None:
        self.parts.apply_head(heard)
        instance_id = self._instance_ids_by_hash.get(heard.server)
        if instance_id is None:
            return
        seconds = heard.first_event_ms / _MS_PER_SECOND
        self._loads.note_first_event(instance_id, heard.call, now, seconds)
        self.limits.apply_answer(instance_id, heard.limit, seconds)

    def _apply_end(self, ended: CallEnded, host: str) -> None:
        self.parts.apply_end(ended)
        instance_id = self._instance_ids_by_hash.get(ended.server)
        result = _CALL_RESULTS.get(ended.result)
        if instance_id is None or result is None:
            return
        self._loads.end(instance_id, ended.call)
        self._record_result(instance_id, result, host)


__all__ = (
    'CONFIGURATION_STREAM',
    'SERVERS_STREAM',
    'STREAMS',
    'ReplicatedRoutingState',
)
