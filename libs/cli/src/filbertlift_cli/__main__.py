"""Runs the operator's command line as a module."""

from filbertlift_cli import main

main.run()
