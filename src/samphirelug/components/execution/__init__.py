"""Execute requests at most once and limit their retries."""
