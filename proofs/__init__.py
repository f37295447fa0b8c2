"""Mutation checks: each mechanism's test must fail when the mechanism is switched off."""
