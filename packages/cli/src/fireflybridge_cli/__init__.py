"""The fireflybridge command-line tool."""

from fireflybridge_cli._main import main

__all__ = ["main"]
