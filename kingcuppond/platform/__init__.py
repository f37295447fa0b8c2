"""The adapter to the users' platform: its names, formats and calls, and no decision.

Every name that the platform puts on the wire is decoded here, once, into types of the product.
"""
