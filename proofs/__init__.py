"""Shows that each proof fails without the mechanism that it is meant to prove."""
