"""Operators: a daemon's pages and metrics, and what commands do to read and change the fleet."""
