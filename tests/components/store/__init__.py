"""Test the store component."""
