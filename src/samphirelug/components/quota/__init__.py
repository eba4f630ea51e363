"""Divide capacity limits between entry hosts without exceeding them."""
