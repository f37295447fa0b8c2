"""The entry: where callers and other daemons reach this daemon."""
