"""Send requests and probes to backend servers."""
