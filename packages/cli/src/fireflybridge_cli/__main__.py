"""Run the command-line tool as ``python -m fireflybridge_cli``."""

import sys

from fireflybridge_cli import main

if __name__ == "__main__":
    sys.exit(main())
