"""The adapter to the users' platform: its wire names, formats and calls, and no decisions.

Everything that the platform sends is decoded once, here, into the product's own types.
"""
