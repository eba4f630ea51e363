"""Select the backend server for a request, or refuse the request."""
