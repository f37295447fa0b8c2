"""Settings of a daemon and files of operators: JSON with comments, validated before use."""
