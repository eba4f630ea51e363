"""Provide the metrics of entry hosts in the Prometheus text format."""
