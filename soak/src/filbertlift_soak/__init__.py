"""Randomized faults on real nodes, and checks of the guarantees to callers."""
