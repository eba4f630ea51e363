"""Run requests at most once and retry within a budget."""
