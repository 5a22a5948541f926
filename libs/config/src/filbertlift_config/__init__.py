"""Operators' files, versions of the configuration and compiled routes."""
