"""Dispatch policy: queue order, admission, limits and ejection."""
