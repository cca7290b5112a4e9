"""The order of the packages that serve forwarded calls."""

from __future__ import annotations

import ast
from pathlib import Path
from typing import Final

import pytest

import burdockledge

_ROOT: Final = Path(burdockledge.__file__).parent
# Each package may import itself and the packages before it.
_PACKAGES: Final = (
    'clock',
    'hashing',
    'calls',
    'telemetry',
    'kernel',
    'settings',
    'wire',
    'peers',
    'membership',
    'directory',
    'registry',
    'quarantine',
    'scheduling',
    'admission',
    'replication',
    'relay',
)


def imported_packages(package: str) -> set[str]:
    """Return the packages of the product that a package imports."""
    imported: set[str] = set()
    for path in (_ROOT / package).glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module is not None:
                names = node.module.split('.')
                if names[0] == 'burdockledge' and len(names) > 1:
                    imported.add(names[1])
    return imported


@pytest.mark.parametrize('package', _PACKAGES)
def test_a_package_imports_only_packages_below_it(package: str) -> None:
    """Type-checking imports count too: a circle hides in them as well."""
    allowed = set(_PACKAGES[: _PACKAGES.index(package) + 1])
    assert not imported_packages(package) - allowed
