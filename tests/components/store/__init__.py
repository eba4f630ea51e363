"""Test the access to the platform's object store."""
