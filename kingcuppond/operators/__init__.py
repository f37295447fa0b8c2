"""Operators: what a daemon shows, and the commands that read it and change configuration."""
