"""Decisions on which nodes and targets exist."""
