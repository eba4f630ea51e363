"""Choose entry hosts, regions and backend servers."""
