"""Check, apply and distribute catalogue entries."""
