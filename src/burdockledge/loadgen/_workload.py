"""The models that validate a workload file."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class _WorkloadModel(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')


class Phase(_WorkloadModel):
    """A period during which all rates are multiplied by a factor."""

    seconds: float = Field(gt=0, description='length of the phase')
    factor: float = Field(ge=0, description='factor of every rate')


class Stream(_WorkloadModel):
    """Requests of one class from one team."""

    name: str = Field(description='what the requests are, for people')
    team_key: str = Field(description='key of the team')
    class_name: str = Field(description='class of the requests')
    kind: Literal['chat', 'service'] = 'chat'
    rate: float = Field(gt=0, description='requests a second')
    model: str = ''
    service: str = ''
    path: str = 'call'
    prompt_characters: int = Field(default=200, ge=1)
    tokens: int = Field(default=20, ge=1, description='median length')
    long_share: float = Field(default=0, ge=0, le=1)
    long_factor: float = Field(default=30, ge=1)


class Workload(_WorkloadModel):
    """The phases and request streams of a run."""

    seed: int = 1
    phases: tuple[Phase, ...] = Field(min_length=1)
    streams: tuple[Stream, ...] = Field(min_length=1)
    first_token_ms: dict[str, int] = Field(
        default_factory=dict,
        description='target of each class, to tell what was attained',
    )


__all__ = ('Phase', 'Stream', 'Workload')
