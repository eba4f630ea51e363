"""Know the backend servers and the entry hosts that exist."""
