"""Measure the system on one machine; docs/measurements.md has figures."""
