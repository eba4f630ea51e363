"""Choose the backend server that runs a request, or refuse the request."""
