"""Configuration: classes of work, services, states of data centres, the measurement budget."""
