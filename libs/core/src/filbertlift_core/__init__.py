"""Shared records, settings, logs and the base of all errors."""
