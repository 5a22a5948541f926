"""Decisions on calls: at most once, admission, choice, retries."""
