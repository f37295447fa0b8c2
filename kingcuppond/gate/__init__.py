"""The gate: every call to a server passes it, so only the gate knows that server's exact load."""
