"""Send requests to backend servers and decide on further attempts."""
