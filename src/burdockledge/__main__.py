"""Run the command line as ``python -m burdockledge``."""

from __future__ import annotations

import gc
import signal
import sys

# Collecting garbage during the imports would free little and take a quarter
# of the start-up time. The command line enables it again.
gc.disable()
if sys.argv[1:2] == ['host']:
    # SIGHUP asks for a reload of the settings and by default ends the process.
    # Until a handler is installed it can be ignored: the settings are read
    # later in the start-up anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from burdockledge.cli import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main())
