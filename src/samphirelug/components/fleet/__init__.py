"""Keep track of the known backend servers and entry hosts."""
