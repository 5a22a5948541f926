"""Access to the platform's key-value service, and publication."""
