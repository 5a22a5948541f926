"""Decisions of a node: routes, placement, queueing and repeats of calls."""
