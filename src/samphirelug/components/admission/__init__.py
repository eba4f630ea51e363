"""Admit, queue or refuse requests of callers by rank."""
