"""Numbered events: their catalogue, the journal of a daemon's latest events, and the log."""
