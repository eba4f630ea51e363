"""Tell callers which entry hosts to use."""
