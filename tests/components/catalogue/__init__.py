"""Test the catalogue component."""
