"""Organisations: whose request it is, by the key that it carries."""
