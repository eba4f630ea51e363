"""Choose the service that a request goes to."""
