"""The process that runs beside each target."""
