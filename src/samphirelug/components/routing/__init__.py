"""Match requests to routes and services."""
