"""Membership: which daemons exist, which of them live, and what their servers can take."""
