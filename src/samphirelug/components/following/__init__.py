"""Follow the store through a few hosts that read it."""
