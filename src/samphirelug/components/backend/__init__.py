"""Send requests and health probes to backend servers."""
