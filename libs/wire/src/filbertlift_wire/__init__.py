"""Codec of the frames between nodes."""
