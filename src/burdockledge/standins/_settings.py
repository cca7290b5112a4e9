"""Settings of the stand-ins."""

from pydantic import Field

from burdockledge.settings import CommandSettings


class StandInSettings(CommandSettings):
    """Settings of every stand-in."""

    address: str = Field(
        pattern=r'^[0-9a-fA-F.:\[\]]+:\d{1,5}$',
        description='IP:port to listen on',
    )
    seed: int = Field(default=1, description='seed of its random faults')


class EngineSettings(StandInSettings):
    """Settings of ``standin engine``."""

    slots: int = Field(default=8, ge=1, description='requests in a batch')
    token_ms: float = Field(
        default=10,
        ge=0,
        description='milliseconds a token of a batch',
    )
    prefill_tokens_per_ms: float = Field(
        default=20,
        gt=0,
        description='prompt tokens read in a millisecond',
    )
    cache_tokens: int = Field(
        default=100_000,
        ge=0,
        description='prompt tokens kept in the prefix cache',
    )
    report_lag_ms: float = Field(
        default=2000,
        ge=0,
        description='how late load reports and cache events are',
    )
    event_loss: float = Field(
        default=0.05,
        ge=0,
        le=1,
        description='share of cache events that are lost',
    )


class PlainServiceSettings(StandInSettings):
    """Settings of ``standin service``."""

    service_name: str = Field(default='ledger', description='its name')
    work_ms: float = Field(
        default=5,
        ge=0,
        description='milliseconds a call takes',
    )


class LogSettings(StandInSettings):
    """Settings of ``standin log``."""

    appends_per_second: float = Field(
        default=300,
        gt=0,
        description='appends taken a second',
    )
    retention_seconds: float = Field(
        default=86_400,
        gt=0,
        description='how long records are kept',
    )
    append_ms: float = Field(
        default=3,
        ge=0,
        description='milliseconds an append takes',
    )


class HostListSettings(StandInSettings):
    """Settings of ``standin hosts``."""

    lag_ms: float = Field(
        default=2000,
        ge=0,
        description='how late the list is',
    )


__all__ = (
    'EngineSettings',
    'HostListSettings',
    'LogSettings',
    'PlainServiceSettings',
    'StandInSettings',
)
