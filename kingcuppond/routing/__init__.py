"""Routing: selects a server for each call, and retries or hedges the call if needed."""
