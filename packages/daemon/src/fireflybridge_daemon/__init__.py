"""The fireflybridge daemon: settings, start-up checks and composition root."""

from fireflybridge_daemon._main import main

__all__ = ["main"]
