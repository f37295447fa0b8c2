"""Measurements, apart from the tests: added latency, routing policies, slopes of control."""
