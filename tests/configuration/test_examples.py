"""The examples and the reference pages match the code."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from burdockledge.configuration import Document
from burdockledge.settings import ServeSettings, describe_settings

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize('name', ['blackthorn-vale', 'fraser-reach'])
def test_example_is_valid(name: str) -> None:
    """Each example is a valid document with teams."""
    path = ROOT / 'examples' / f'{name}.json'
    document = Document.model_validate_json(path.read_text('utf-8'))
    assert document.teams


def test_schema_page_is_current() -> None:
    """The published JSON schema equals the schema of the model."""
    path = ROOT / 'docs' / 'reference' / 'configuration.schema.json'
    published = json.loads(path.read_text('utf-8'))
    assert published == Document.model_json_schema()


def test_settings_page_is_current() -> None:
    """The settings page has every setting and its description."""
    page = (ROOT / 'docs' / 'reference' / 'settings.md').read_text('utf-8')
    for row in describe_settings(ServeSettings):
        assert f'| `{row.flag}` | `{row.environment}` |' in page
        assert row.text in page
