"""Queue and admit requests by rank."""
