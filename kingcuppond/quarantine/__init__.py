"""Quarantine of requests that take servers down: suspects, trials and holds."""
