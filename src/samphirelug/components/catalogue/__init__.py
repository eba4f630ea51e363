"""Validate, store and distribute catalogue entries."""
