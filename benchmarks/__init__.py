"""Benchmark the system on one machine; see docs/measurements.md."""
