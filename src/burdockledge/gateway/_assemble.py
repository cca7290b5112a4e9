"""Assembles the events of a stream into one JSON answer."""

from __future__ import annotations

import io
import json
from typing import Any, Final

_DATA_PREFIX: Final = b'data: '


def assemble_answer(events: bytes) -> dict[str, Any]:
    """
    Return the body of a non-streaming response with the text of all events.

    Each event counts as one token in ``completion_tokens``.
    """
    # Only the texts are kept: the decoded events take many times the memory.
    last: dict[str, Any] | None = None
    texts: list[str] = []
    for line in io.BytesIO(events):
        if line.startswith(_DATA_PREFIX):
            last = json.loads(line[len(_DATA_PREFIX) :])
            texts.append(_choice_text(last['choices'][0]))
    if last is None:
        return {'object': 'text_completion', 'choices': []}
    is_chat = 'delta' in last['choices'][0]
    text = ''.join(texts)
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': last['choices'][0].get('finish_reason'),
    }
    if is_chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': last['id'],
        'object': 'chat.completion' if is_chat else 'text_completion',
        'model': last.get('model'),
        'choices': [choice],
        'usage': {'completion_tokens': len(texts)},
    }


def _choice_text(choice: dict[str, Any]) -> str:
    delta = choice.get('delta')
    if delta is None:
        return str(choice.get('text', ''))
    return str(delta.get('content', ''))


__all__ = ('assemble_answer',)
