"""Run the daemon with ``python -m fireflybridge_daemon``."""

import sys

from fireflybridge_daemon import main

sys.exit(main())
