"""Decisions on which version is in force and who tells whom."""
