"""The port to the platform's store."""
