"""Run real entry hosts under random faults and check their guarantees."""
