"""The fireflybridge daemon: settings, start-up checks and composition root."""
