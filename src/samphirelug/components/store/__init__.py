"""Talk to the platform's object store."""
