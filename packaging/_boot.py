"""
Import the extension modules in the archive through memfd_create files.

This module may import only modules that are built into the interpreter
(built-in or frozen).
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipimport

import _preload


class ExtensionFinder:
    """Meta path finder for the extension modules in the archive."""

    def __init__(self, path):
        """Read the archive's index and preload its shared libraries."""
        self._archive = zipimport.zipimporter(path)
        self._path = path
        index = self._read('INDEX').decode().split()
        self._modules = {
            name.removeprefix('ext/'): name
            for name in index
            if name.startswith('ext/')
        }
        for name in index:
            if name.startswith('lib/'):
                _preload.preload(self._memory_file(name))

    def find_spec(self, fullname, path=None, target=None):
        """Return a spec for the module, or None if the archive lacks it."""
        name = self._modules.get(fullname)
        if name is None:
            return None
        location = self._memory_file(name)
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(
            fullname, location, loader=loader
        )

    def _read(self, name):
        return self._archive.get_data(f'{self._path}/{name}')

    def _memory_file(self, name):
        descriptor = os.memfd_create(name.rpartition('/')[2], os.MFD_CLOEXEC)
        content = memoryview(self._read(name))
        while content:
            content = content[os.write(descriptor, content) :]
        return f'/proc/self/fd/{descriptor}'


def install(path):
    """Register a finder for the archive's extension modules."""
    sys.meta_path.insert(0, ExtensionFinder(path))
