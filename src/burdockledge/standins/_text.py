"""Answer texts that a client can derive from its own request."""

from __future__ import annotations

import hashlib
from typing import Any

_DIGEST_BYTES = 6


def prompt_digest(body: dict[str, Any]) -> str:
    """Return a digest of a chat's messages or of a prompt."""
    text = str(body.get('prompt', ''))
    for message in body.get('messages', ()):
        text = f'{text}\n{message.get("role")}: {message.get("content")}'
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


def token_text(digest: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt digest."""
    return f'{digest}.{index} '


__all__ = ('prompt_digest', 'token_text')
