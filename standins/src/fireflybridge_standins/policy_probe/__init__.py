"""Measure the dispatch policy in virtual time, against simpler orders of the same work."""
