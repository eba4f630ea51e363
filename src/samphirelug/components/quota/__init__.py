"""Share limits between entry hosts without exceeding them."""
