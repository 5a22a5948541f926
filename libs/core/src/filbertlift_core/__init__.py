"""Shared records, settings, logs and the base class of all errors."""
