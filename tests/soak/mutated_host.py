"""An entry host with a mutation: ``mutated_host MUTATION --flags``."""

from __future__ import annotations

import sys

from burdockledge.cli import main
from tests.soak._mutations import MUTATIONS

if __name__ == '__main__':
    MUTATIONS[sys.argv[1]]()
    sys.exit(main(('host', *sys.argv[2:])))
