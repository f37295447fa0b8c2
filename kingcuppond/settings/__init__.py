"""Settings of a daemon and files of operators: JSON with comments, checked before use."""
