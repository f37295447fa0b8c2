"""Quotas of organisations over the whole fleet."""
