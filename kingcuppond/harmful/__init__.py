"""Requests that take servers down: suspicion, trial and hold."""
