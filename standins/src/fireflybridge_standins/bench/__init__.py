"""Replays recorded traces against daemons and against baseline dispatchers."""
