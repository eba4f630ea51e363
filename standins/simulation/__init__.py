"""Simulate parts on virtual time, for tests and benchmarks."""
