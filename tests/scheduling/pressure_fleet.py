"""Servers under load, for the tests of placement that weighs pressure."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Final

from burdockledge.calls import Prompt, PromptPart, ServerInstance
from burdockledge.scheduling import (
    CallStart,
    HealthTracker,
    LoadTracker,
    PlacementChoice,
    PlacementOptions,
    PlacementRequest,
    PressurePolicy,
    ServerLoad,
)

SERVICE: Final = 'engines'
CHAT_PAUSE_SECONDS: Final = 0.2
DRAFT_PAUSE_SECONDS: Final = 1.2
# An event takes 4 steps, each with a chunk of at most 4096 tokens.
PAUSE_TOKENS: Final = 4 * 4096


def draft(
    shared: int, own: int, own_tokens: int = 3700, shared_tokens: int = 13_300
) -> PlacementRequest:
    """Return a request with a long shared part and long pauses allowed."""
    parts = (PromptPart(shared, shared_tokens), PromptPart(own, own_tokens))
    prompt = Prompt(parts, shared_tokens + own_tokens, 400)
    return PlacementRequest(SERVICE, 2, prompt, 'a', 2.5, DRAFT_PAUSE_SECONDS)


def chat(own: int) -> PlacementRequest:
    """Return a request with a short prompt and short pauses allowed."""
    prompt = Prompt((PromptPart(own, 1400),), 1400, 170)
    return PlacementRequest(SERVICE, 0, prompt, 'a', 0.4, CHAT_PAUSE_SECONDS)


@dataclass
class PressureFleet:
    """Instances of one service, and the calls that a test puts on them."""

    server_count: int = 5
    now: float = 100.0
    slots: int = 48
    call_count: int = 0
    loads: LoadTracker = field(
        default_factory=lambda: LoadTracker(
            PlacementOptions(weighs_pressure=True)
        )
    )

    def __post_init__(self) -> None:
        """Create the policy and the instances, and teach them their times."""
        self.policy = PressurePolicy(
            self.loads, HealthTracker('own'), Random(1)
        )
        self.instances = [
            ServerInstance(
                f's{number}', 1, SERVICE, f'10.0.0.{number}:80', 'a', self.slots
            )
            for number in range(self.server_count)
        ]
        self.loads.retain(self.instances)
        load = self.load(0)
        assert load.pressure is not None
        for _ in range(200):
            load.timing.note_pause(1, 0.024)
            load.timing.note_pause(20, 0.026)
            load.timing.note_first_event(1000, 0.05)
            load.timing.note_first_event(17_000, 0.37)
            load.timing.note_stream_end(400, 100)
            load.pressure.service.note_prefill_pause(
                PAUSE_TOKENS, 60_000, 60_000
            )

    def load(self, number: int) -> ServerLoad:
        """Return the load of a server."""
        return self.loads.load_of(self.instances[number].instance_id)

    def choose(self, request: PlacementRequest) -> PlacementChoice:
        """Return where a call would go."""
        choice = self.policy.choose(self.instances, request, self.now)
        assert choice is not None
        return choice

    def place(
        self, request: PlacementRequest, has_first_event: bool = False
    ) -> int:
        """Place and start a call, and return the number of its server."""
        choice = self.choose(request)
        number = self.instances.index(choice.instance)
        self.start(number, request, choice.prefill_tokens, has_first_event)
        return number

    def start(
        self,
        number: int,
        request: PlacementRequest,
        prefill_tokens: int,
        has_first_event: bool = False,
    ) -> int:
        """Start a call at a server, and return its id."""
        self.call_count += 1
        instance_id = self.instances[number].instance_id
        start = CallStart(
            self.call_count,
            instance_id,
            request.urgency,
            prefill_tokens,
            request.prompt,
            request.prompt.max_output_tokens,
            request.pause_target_seconds,
        )
        self.loads.start(start, self.now)
        if has_first_event:
            self.loads.note_first_event(instance_id, self.call_count, self.now)
        return self.call_count

    def run_chats(self, number: int, count: int) -> None:
        """Let chats run at a server whose prompts are prefilled."""
        for _ in range(count):
            request = chat(900_000 + self.call_count)
            self.start(number, request, 0, has_first_event=True)


__all__ = (
    'PAUSE_TOKENS',
    'PressureFleet',
    'chat',
    'draft',
)
