"""Count and time what the entry host does."""
