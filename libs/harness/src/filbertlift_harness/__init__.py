"""Local deployments, the demo, measurements and the soak test."""
