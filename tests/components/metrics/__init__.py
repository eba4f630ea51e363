"""Test the metrics component."""
