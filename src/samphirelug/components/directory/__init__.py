"""Answer callers that ask which entry host to use."""
