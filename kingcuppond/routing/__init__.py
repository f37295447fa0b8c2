"""Routing: which server runs a call, and what to do when it does not."""
