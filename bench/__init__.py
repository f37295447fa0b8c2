"""Benchmarks: added latency, routing policies, cost of the control plane and of logging."""
