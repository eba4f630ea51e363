"""Exchange messages with other entry hosts."""
