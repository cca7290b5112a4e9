"""Models that validate the request bodies of callers and operators."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field


class Message(BaseModel):
    """A message of a conversation; other fields are passed to the engine."""

    model_config = ConfigDict(extra='allow')

    role: Literal['system', 'developer', 'user', 'assistant', 'tool']
    content: str | list[dict[str, Any]] | None = None


class GenerationBody(BaseModel):
    """
    Fields that chat and text completions share.

    Other fields are passed to the engine.
    """

    model_config = ConfigDict(extra='allow')

    model: str = Field(min_length=1, max_length=256)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1, le=1_000_000)

    def prompt_text(self) -> str:
        """Return the prompt as one text."""
        raise NotImplementedError


class ChatBody(GenerationBody):
    """The body of ``/v1/chat/completions``."""

    messages: list[Message] = Field(min_length=1, max_length=10_000)

    def prompt_text(self) -> str:
        """Return all messages as one text, with a line for each."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


class CompletionBody(GenerationBody):
    """The body of ``/v1/completions``."""

    prompt: str = Field(max_length=10_000_000)

    def prompt_text(self) -> str:
        """Return the prompt."""
        return self.prompt


class PatchBody(BaseModel):
    """
    A patch of the configuration.

    ``base`` is the version it was written against, ``patch`` a JSON merge patch
    (RFC 7396). A patch that is sent again with the same ``id`` is not applied
    again.
    """

    model_config = ConfigDict(extra='forbid')

    id: str = Field(min_length=1, max_length=64)
    base: int = Field(ge=0)
    patch: dict[str, Any]


__all__ = (
    'ChatBody',
    'CompletionBody',
    'GenerationBody',
    'Message',
    'PatchBody',
)
