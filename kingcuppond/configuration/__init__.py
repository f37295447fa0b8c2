"""Configuration: classes of work, states of data centres, the measuring budget."""
