"""Fleet membership: known daemons, failure detection and the state of their servers."""
