"""Stand-ins of the platform, of servers and of callers for the cases."""
