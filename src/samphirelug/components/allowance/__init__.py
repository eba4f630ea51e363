"""Keep the requests of each team within its rate over all entry hosts."""
