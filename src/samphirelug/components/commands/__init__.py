"""Implement the operator commands."""
