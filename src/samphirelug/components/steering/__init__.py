"""Select entry hosts, regions and backend servers for requests."""
