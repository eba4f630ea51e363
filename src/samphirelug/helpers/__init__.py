"""Provide helpers that are used by several components."""
