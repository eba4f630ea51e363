"""Test the commands component."""
