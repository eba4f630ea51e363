"""Access the platform's object store."""
