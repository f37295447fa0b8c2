"""Numbered events: the catalogue, and the journal that keeps the latest ones of a daemon."""
