"""Randomized faults on real nodes, with the promises checked from outside."""
