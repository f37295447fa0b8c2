"""The gate: the only way to a server, and the only exact view of it."""
