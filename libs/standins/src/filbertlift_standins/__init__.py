"""Stand-ins for the store, targets, callers and the link."""
