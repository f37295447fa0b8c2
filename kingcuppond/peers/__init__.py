"""Control messages between daemons."""
