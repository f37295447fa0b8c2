"""Fake servers and a fake platform store that kingcuppond is tested and measured against."""
