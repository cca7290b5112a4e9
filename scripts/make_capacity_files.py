"""Write benchmark files: make_capacity_files.py PORT_BASE FOLDER RATE ..."""

from __future__ import annotations

import hashlib
import json
import sys
from pathlib import Path

port_base, folder = int(sys.argv[1]), Path(sys.argv[2])
rates = [int(rate) for rate in sys.argv[3:]]
TEAM_KEY = 'bench-team-key'
engines = {
    f'engine-{number}': {
        'kind': 'engine',
        'url': f'http://127.0.0.1:{port_base + 300 + number}',
        'data_centre': 'dc1',
        'models': ['small'],
        'slots': 64,
    }
    for number in (1, 2, 3)
}
digest = hashlib.sha256(TEAM_KEY.encode()).hexdigest()
configuration = {
    'servers': engines,
    'classes': {
        'counter': {
            'tier': 0,
            'first_token_ms': 1100,
            'servers': list(engines),
        },
    },
    'teams': {
        'bench': {'key_hashes': [f'sha256:{digest}'], 'classes': ['counter']},
    },
}
(folder / 'configuration.json').write_text(json.dumps(configuration), 'utf-8')
for rate in rates:
    workload = {
        'phases': [{'seconds': 10, 'factor': 1}],
        'first_token_ms': {'counter': 1100},
        'streams': [
            {
                'name': 'bench',
                'team_key': TEAM_KEY,
                'class_name': 'counter',
                'rate': rate,
                'model': 'small',
                'tokens': 20,
            },
        ],
    }
    (folder / f'workload-{rate}.json').write_text(json.dumps(workload), 'utf-8')
