"""
Build a single-file executable: build.py TARGET.

The file is a C launcher, statically linked with the running Python, followed
by a zip archive of the standard library and the installed packages.
"""

from __future__ import annotations

import os
import subprocess
import sys
import sysconfig
import tempfile
import zipfile
from pathlib import Path

HERE = Path(__file__).parent
ROOT = HERE.parent
EXCLUDED_PATH_PARTS = frozenset(
    (
        'test',
        'tests',
        'idlelib',
        'tkinter',
        'turtledemo',
        'ensurepip',
        'lib2to3',
        'site-packages',
        '__pycache__',
        'config-3.11-x86_64-linux-gnu',
    ),
)
PACKAGES = (
    'absl',
    'aiohappyeyeballs',
    'aiohttp',
    'aiosignal',
    'annotated_types',
    'attr',
    'attrs',
    'frozenlist',
    'hdrh',
    'idna',
    'multidict',
    'propcache',
    'pydantic',
    'pydantic_core',
    'result',
    'six',
    'structlog',
    'thrift',
    'transitions',
    'typing_extensions',
    'typing_inspection',
    'uuid6',
    'xxhash',
    'yarl',
)
TOP_LEVEL_EXTENSIONS = ('pyhdrh',)


def compile_launcher(target: Path) -> None:
    """Compile and link the launcher."""
    library = Path(
        sysconfig.get_config_var('LIBPL')
    ) / sysconfig.get_config_var('LIBRARY')
    if not library.exists():
        sys.exit(f'static Python library not found: {library}')
    flags = ' '.join(
        sysconfig.get_config_var(name) or ''
        for name in ('LIBS', 'SYSLIBS', 'LINKFORSHARED')
    ).split()
    link_flags = [flag for flag in flags if 'rpath' not in flag]
    include = sysconfig.get_path('include')
    command = [
        os.environ.get('CC', 'cc'),
        '-O2',
        f'-I{include}',
        str(HERE / 'launcher.c'),
        '-Wl,--whole-archive',
        str(library),
        '-Wl,--no-whole-archive',
        *link_flags,
        '-lpthread',
        '-lutil',
        '-s',
        '-o',
        str(target),
    ]
    subprocess.run(command, check=True)


def needed_libraries(extensions: list[Path]) -> set[Path]:
    """Return the shared libraries needed besides the C runtime's."""
    c_runtime_prefixes = (
        'libc.',
        'libm.',
        'libdl.',
        'libpthread.',
        'ld-linux',
        'linux-vdso',
    )
    found: set[Path] = set()
    for extension in extensions:
        ldd_output = subprocess.run(
            ['ldd', str(extension)],
            capture_output=True,
            text=True,
            check=False,
        ).stdout
        for line in ldd_output.splitlines():
            if '=>' not in line:
                continue
            path = line.split('=>')[1].split('(')[0].strip()
            name = Path(path).name
            if path and not name.startswith((*c_runtime_prefixes, 'libgcc_s')):
                found.add(Path(path))
    return found


def load_order(libraries: set[Path]) -> list[Path]:
    """Sort libraries so that each follows its dependencies."""
    return sorted(
        libraries,
        key=lambda path: (len(needed_libraries([path])), path.name),
    )


def module_name(path: Path, base: Path) -> str:
    """Return the dotted module name of an extension file."""
    relative = path.relative_to(base)
    stem = relative.name.split('.')[0]
    return '.'.join((*relative.parts[:-1], stem))


def add_sources(
    archive: zipfile.ZipFile, base: Path, source_path: Path
) -> None:
    """Compile a file, or all modules in a directory tree, and add them."""
    import py_compile

    files = (
        [source_path]
        if source_path.is_file()
        else sorted(source_path.rglob('*.py'))
    )
    with tempfile.TemporaryDirectory() as scratch:
        compiled = Path(scratch) / 'module.pyc'
        for source in files:
            relative = source.relative_to(base)
            if EXCLUDED_PATH_PARTS.intersection(relative.parts):
                continue
            py_compile.compile(
                str(source),
                cfile=str(compiled),
                dfile=str(relative),
                invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            )
            archive.write(compiled, str(relative.with_suffix('.pyc')))


def main(target: Path) -> None:
    """Build the executable and write it to ``target``."""
    target.parent.mkdir(parents=True, exist_ok=True)
    stdlib = Path(sysconfig.get_path('stdlib'))
    site = Path(sysconfig.get_path('purelib'))
    dynload = Path(sysconfig.get_config_var('DESTSHARED'))
    extensions: dict[str, Path] = {}
    for path in sorted(dynload.glob('*.so')):
        name = module_name(path, dynload)
        if not name.startswith(('_test', 'xx', '_tkinter', '_ctypes_test')):
            extensions[name] = path
    for package in (*PACKAGES, *TOP_LEVEL_EXTENSIONS):
        for path in sorted(site.glob(f'{package}/**/*.so')):
            extensions[module_name(path, site)] = path
        for path in sorted(site.glob(f'{package}.*.so')):
            extensions[module_name(path, site)] = path
    libraries = needed_libraries(list(extensions.values()))
    archive_path = target.with_suffix('.zip')
    with zipfile.ZipFile(archive_path, 'w', zipfile.ZIP_STORED) as archive:
        add_sources(archive, HERE, HERE / '_boot.py')
        add_sources(archive, stdlib, stdlib)
        add_sources(archive, ROOT / 'src', ROOT / 'src' / 'burdockledge')
        for package in PACKAGES:
            source_path = site / package
            if not source_path.exists():
                source_path = site / f'{package}.py'
            add_sources(archive, site, source_path)
        for path in sorted(site.glob('*.dist-info/METADATA')):
            archive.write(path, str(path.relative_to(site)))
        for name, path in extensions.items():
            archive.write(path, f'ext/{name}')
        ordered = load_order(libraries)
        for path in ordered:
            archive.write(path, f'lib/{path.name}')
        index = [f'lib/{path.name}' for path in ordered]
        index.extend(f'ext/{name}' for name in extensions)
        archive.writestr('INDEX', '\n'.join(index))
    compile_launcher(target)
    with target.open('ab') as executable:
        executable.write(archive_path.read_bytes())
    archive_path.unlink()
    target.chmod(0o755)
    size_mb = target.stat().st_size / 2**20
    sys.stdout.write(f'{target}: {size_mb:.0f} MB\n')


if __name__ == '__main__':
    main(Path(sys.argv[1]))
