"""Carry requests to backend servers and decide on another attempt."""
