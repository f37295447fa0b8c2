"""The listening ports of the daemon, for calls of callers and calls relayed by other daemons."""
