"""Interface to the platform's object store."""
