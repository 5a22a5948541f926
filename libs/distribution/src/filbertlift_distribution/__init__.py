"""Decisions on which version is in force and how it is disseminated."""
