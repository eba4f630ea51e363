"""Exchange HTTP/1.1 messages with callers and backend servers."""
