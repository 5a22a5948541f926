"""Decisions of a node beside a target: routes, placement, queueing, repeats."""
