"""Provide small stand-ins for outside systems, for tests and demos."""
