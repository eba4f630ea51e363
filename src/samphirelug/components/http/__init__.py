"""Speak HTTP/1.1 to callers and to backend servers."""
