"""Implement the commands of the command line."""
