"""Write the files of the demo: make_demo_files.py PORT_BASE FOLDER."""

from __future__ import annotations

import hashlib
import json
import sys
from pathlib import Path
from string import Template

port_base, folder = int(sys.argv[1]), Path(sys.argv[2])
examples = Path(__file__).parent.parent / 'examples' / 'demo'
ports = {f'port{offset}': str(port_base + offset) for offset in range(100)}
keys = ('shop-leicester', 'shop-derby', 'dock-north', 'roll-desk')
ports.update(
    {
        f'hash_{key.replace("-", "_")}': (
            f'sha256:{hashlib.sha256(key.encode()).hexdigest()}'
        )
        for key in keys
    },
)
for name in ('configuration', 'workload', 'patch'):
    template = (examples / f'{name}.json').read_text('utf-8')
    rendered = Template(template).substitute(ports)
    json.loads(rendered)
    (folder / f'{name}.json').write_text(rendered, 'utf-8')
