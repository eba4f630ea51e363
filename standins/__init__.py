"""Provide fakes of outside systems for tests, demos and benchmarks."""
