"""Choose the entry hosts that callers are to use."""
